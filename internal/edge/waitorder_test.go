package edge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// outage simulates a node whose callers wait until it becomes ready.
type outage struct {
	// rate is the number of opening packets per second.
	rate float64
	// objective is the time within which an answer counts as on time. serviceTime is the
	// mean service time of a target.
	objective, serviceTime time.Duration
}

// load returns the share of the release window that new callers use.
func (o outage) load() float64 { return o.rate * o.serviceTime.Seconds() / releaseWindow }

func (o outage) drawServiceTime(random *rand.Rand) time.Duration {
	return o.serviceTime/2 + time.Duration(random.ExpFloat64()*float64(o.serviceTime/2))
}

// simulate returns the number of waiting callers answered on time, and the number for
// which this was still possible when the node became ready.
func (o outage) simulate(seed uint64) (served, possible int) {
	random := rand.New(rand.NewPCG(seed, 1))
	ready := kernel.Instant(2 * time.Second)
	list := newWaitlist()
	var answers []kernel.Instant
	caller := uint16(0)
	for now := ready.Add(-callerTimeout); now < ready.Add(o.objective); now = now.Add(time.Millisecond) {
		answers = slices.DeleteFunc(answers, func(at kernel.Instant) bool { return at <= now })
		comes := random.Float64() < o.rate*time.Millisecond.Seconds()
		if comes && now >= ready {
			answers = append(answers, now.Add(o.drawServiceTime(random)))
		}
		if comes && now < ready {
			caller++
			list.add(now, packet(caller), nil)
			list.packets[flow(caller)].sendBy = now.Add(o.objective - serviceAllowance)
		}
		if now == ready {
			for _, entry := range list.packets {
				possible += onTimeCount(entry, now)
			}
		}
		if now < ready || now.Sub(ready)%releaseInterval != 0 {
			continue
		}
		for entry, more := list.next(now, always, len(answers)); more; entry, more = list.next(now, always, len(answers)) {
			answered := now.Add(o.drawServiceTime(random))
			answers = append(answers, answered)
			if answered.Sub(entry.since) <= o.objective && entry.isOnTime(now) {
				served++
			}
		}
	}
	return served, possible
}

func onTimeCount(entry *waitingPacket, now kernel.Instant) int {
	if entry.isOnTime(now) {
		return 1
	}
	return 0
}

// With half of the release window used by new callers, nearly all waiting ones that can
// be answered on time are.
func TestWaitingCallersAreServedOnTime(t *testing.T) {
	o := outage{rate: 100, objective: 250 * time.Millisecond, serviceTime: 30 * time.Millisecond}
	assert.InDelta(t, 0.5, o.load(), 0.01)
	served, possible := 0, 0
	for seed := range uint64(100) {
		s, p := o.simulate(seed)
		served += s
		possible += p
	}
	assert.Greater(t, float64(served), 0.9*float64(possible))
}
