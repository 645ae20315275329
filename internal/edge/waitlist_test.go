package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

func flow(port uint16) steer.FlowKey {
	return steer.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port)}
}

func packet(port uint16) steer.Packet { return steer.Packet{Flow: flow(port)} }

func waitOneSecond(steer.FlowKey) time.Duration { return time.Second }

func always(steer.Packet) bool { return true }

// nextAll returns the released packets in order.
func nextAll(w *waitlist, now kernel.Instant) []string {
	var list []string
	w.expire(now, waitOneSecond)
	for {
		entry, more := w.next(now, always, 0)
		if !more {
			return list
		}
		list = append(list, string(entry.datagram))
	}
}

func TestWaitlistKeepsNewestPacketOfFlow(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	buffer := []byte("first")
	assert.True(t, w.add(now, packet(1), buffer))
	assert.True(t, w.add(now, packet(2), []byte("other")))
	assert.True(t, w.add(now, packet(1), []byte("second")))
	copy(buffer, "xxxxx")
	assert.ElementsMatch(t, []string{"second", "other"}, nextAll(w, now))
	assert.True(t, w.isEmpty())
}

// Callers that can be answered on time must not wait behind late ones.
func TestOnTimePacketsPrecedeLateOnes(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	ages := map[string]time.Duration{"timed out": 1100, "old": 900, "late": 500, "on time": 150, "new": 20}
	port := uint16(0)
	for name, age := range ages {
		port++
		w.add(now.Add(-age*time.Millisecond), packet(port), []byte(name))
	}
	assert.Equal(t, 1, w.expire(now, waitOneSecond), "one caller has timed out")
	assert.Equal(t, []string{"on time", "new", "old", "late"}, nextAll(w, now))
	assert.True(t, w.isEmpty())
}

func TestRetransmissionRevealsWaitingTime(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	w.add(now, packet(1), []byte("new"))
	again := packet(2)
	again.Opening = true
	again.Copy = 2
	w.add(now, again, []byte("copy"))
	w.add(now, packet(3), []byte("newer"))
	assert.Equal(t, "copy", string(w.order[0].datagram))
	later := now.Add(300 * time.Millisecond)
	assert.Equal(t, []string{"copy", "new", "newer"}, nextAll(w, later))
}

func TestRemovedPacketIsNotSent(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	w.add(now, packet(1), []byte("one"))
	w.add(now, packet(2), []byte("two"))
	w.remove(flow(1))
	entry, more := w.next(now, always, 0)
	assert.True(t, more)
	assert.Equal(t, "two", string(entry.datagram))
	_, more = w.next(now, always, 0)
	assert.False(t, more)
	w.add(now, packet(2), []byte("two"))
	assert.Equal(t, []string{"two"}, nextAll(w, now))
}

func TestWaitlistCapacity(t *testing.T) {
	w := newWaitlist()
	for port := range uint16(maxWaitlist) {
		assert.True(t, w.add(0, packet(port), nil))
	}
	assert.False(t, w.add(0, packet(maxWaitlist), nil))
	assert.True(t, w.add(0, packet(3), nil), "a flow that is already waiting")
	assert.Len(t, nextAll(w, 0), maxWaitlist)
}

func TestOpenFlowsAreReleasedBeforeReadiness(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	newFlow := packet(1)
	newFlow.Opening = true
	w.add(now, newFlow, []byte("new flow"))
	w.add(now, packet(2), []byte("open flow"))
	isOpen := func(packet steer.Packet) bool { return !packet.Opening }
	entry, more := w.next(now, isOpen, 0)
	assert.True(t, more)
	assert.Equal(t, "open flow", string(entry.datagram))
	_, more = w.next(now, isOpen, 0)
	assert.False(t, more)
	assert.Equal(t, []string{"new flow"}, nextAll(w, now))
}

// Packets of callers that have timed out must not keep out new ones.
func TestFullWaitlistEvictsExpiredPackets(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	for port := range maxWaitlist {
		assert.True(t, w.add(now, packet(uint16(port)), []byte("old")))
	}
	assert.Zero(t, w.evictExpired(now.Add(time.Second/2), waitOneSecond), "no caller has timed out")
	assert.False(t, w.add(now.Add(time.Second/2), packet(maxWaitlist), []byte("new")))
	later := now.Add(2 * time.Second)
	assert.Equal(t, maxWaitlist, w.evictExpired(later, waitOneSecond))
	assert.True(t, w.add(later, packet(maxWaitlist), []byte("new")))
	assert.Len(t, w.order, 1)
}

// Targets cannot serve all waiting callers on time after an outage.
func TestOnTimePacketsAreOrderedByUrgency(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	routes := map[uint16]*directory.Route{
		1: {Urgency: 1, Objective: 600 * time.Millisecond},
		2: {Urgency: 2, Objective: 600 * time.Millisecond},
	}
	waiting := []struct {
		name   string
		caller uint16
		route  uint16
		age    time.Duration
	}{
		{"less urgent, in time", 10, 2, 100 * time.Millisecond},
		{"urgent, late", 11, 1, 900 * time.Millisecond},
		{"urgent, in time, older", 12, 1, 400 * time.Millisecond},
		{"less urgent, late", 13, 2, 950 * time.Millisecond},
		{"urgent, too late for the target", 14, 1, 550 * time.Millisecond},
		{"urgent, in time", 15, 1, 300 * time.Millisecond},
	}
	routeOf := map[steer.FlowKey]*directory.Route{}
	for _, one := range waiting {
		w.add(now.Add(-one.age), packet(one.caller), []byte(one.name))
		routeOf[flow(one.caller)] = routes[one.route]
	}
	w.classify(func(key steer.FlowKey) *directory.Route { return routeOf[key] })
	assert.Equal(t, []string{
		"urgent, in time, older", "urgent, in time", "less urgent, in time",
		"urgent, late", "urgent, too late for the target", "less urgent, late",
	}, nextAll(w, now))
}

// Late packets must not occupy the targets while new callers arrive.
func TestLatePacketsAreLimited(t *testing.T) {
	w := newWaitlist()
	now := kernel.Instant(time.Minute)
	w.add(now.Add(-time.Second), packet(1), []byte("late"))
	_, more := w.next(now, always, lateWindow)
	assert.False(t, more)
	w.add(now, packet(2), []byte("on time"))
	entry, more := w.next(now, always, lateWindow)
	assert.True(t, more)
	assert.Equal(t, "on time", string(entry.datagram))
	_, more = w.next(now, always, lateWindow-1)
	assert.True(t, more)
}
