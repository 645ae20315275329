package routing

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func callerNumber(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:4000", number/250, number%250+1))
}

// place opens a flow and returns the target that got it.
func (c *cell) place(id uint32, caller netip.AddrPort) netip.AddrPort {
	before := len(c.toTargets)
	c.send(id, caller, request(c.t, codes.GET, 1, observing))
	require.Greater(c.t, len(c.toTargets), before, "the flow was placed")
	got := c.last()
	c.answer(id, got, codes.Content)
	return got.target
}

func TestFlowKeepsItsTargetOnEveryBalancerAndThroughChanges(t *testing.T) {
	c := newCell(t, 4, 5)
	const flows = 200
	targets := map[int]netip.AddrPort{}
	for i := range flows {
		targets[i] = c.place(uint32(i%4+1), callerNumber(i))
	}
	check := func(when string) {
		for i := range flows {
			for _, member := range c.view.Members {
				c.send(member.Id, callerNumber(i), request(t, codes.GET, 2, nil))
				assert.Equal(t, targets[i], c.last().target, "%s: flow %d through %d", when, i, member.Id)
			}
		}
	}
	check("at rest")
	c.changeView(1, 2, 3, 4, 5)
	check("a balancer has just joined")
	c.pass(30 * time.Second)
	c.cut[2] = true
	c.changeView(1, 3, 4, 5)
	check("a balancer has just died")
	c.service.Targets = append(c.service.Targets, &beamdoorv1.Target{Id: 200, Name: "new", Address: "10.2.0.99:9000", Slots: 2, Connections: 2000})
	c.service.Targets[0].Draining = true
	c.configure()
	check("a target leaves and another joins")
	c.service.Targets = c.service.Targets[1:]
	c.configure()
	check("a target was removed")
}

func TestLeavingTargetGetsNoNewFlow(t *testing.T) {
	c := newCell(t, 2, 3)
	c.service.Targets[1].Draining = true
	c.configure()
	for i := range 300 {
		assert.NotEqual(t, c.service.Targets[1].Address, c.place(1, callerNumber(i)).String())
	}
}

func TestWeightZeroGetsNoNewFlow(t *testing.T) {
	c := newCell(t, 1, 2)
	signals := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100, Weight: 0, Alive: true}}}
	c.carryOut(c.routers[1].HandleSignals(c.now, signals))
	for i := range 50 {
		assert.Equal(t, c.service.Targets[1].Address, c.place(1, callerNumber(i)).String())
	}
	older := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 101, Weight: 0, Alive: true}}}
	c.carryOut(c.routers[1].HandleSignals(c.now, older))
	c.place(1, callerNumber(60))
}

func TestFullTargetsRefuseNewFlows(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Targets[0].Connections = 2
	c.configure()
	c.place(1, callerNumber(1))
	c.place(1, callerNumber(2))
	c.send(1, callerNumber(3), request(t, codes.GET, 1, observing))
	assert.Len(t, c.toTargets, 2)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestAddressThatMovesToAnotherServiceGetsNoOldPackets(t *testing.T) {
	c := newCell(t, 1, 1)
	c.place(1, callerAddress)
	taken := c.service.Targets[0].Address
	c.service.Targets = nil
	c.configure()
	other := &beamdoorv1.Service{
		Id: 2, Name: "documents", Address: "10.1.0.2:5683", Cell: 1,
		Targets: []*beamdoorv1.Target{{Id: 300, Name: "d", Address: taken, Slots: 2, Connections: 2000}},
	}
	c.revision++
	config := &beamdoorv1.CellConfig{Revision: c.revision, BaseRevision: c.revision - 1, Services: []*beamdoorv1.Service{other}}
	c.carryOut(c.routers[1].HandleConfig(c.now, config))
	before := len(c.toTargets)
	c.send(1, callerAddress, request(t, codes.GET, 2, nil))
	assert.Len(t, c.toTargets, before)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestAnswerOfAnotherServiceIsDropped(t *testing.T) {
	c := newCell(t, 1, 1)
	tag := wire.ForwardTag{ServiceID: 9, TargetID: 100, View: 1}
	c.carryOut(c.routers[1].HandleTargetPacket(c.now, bookingAddress, callerAddress, tag, request(t, codes.Content, 1, nil)))
	assert.Empty(t, c.toCallers)
	assert.Equal(t, uint64(1), c.routers[1].Counters().StaleAnswers)
}

func TestObserverHearsOfItsTargetsDeath(t *testing.T) {
	c := newCell(t, 3, 1)
	c.place(1, callerAddress)
	primary, _, _ := c.owners(callerAddress)
	c.toCallers = nil
	dead := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100}}}
	for _, router := range c.routers {
		c.carryOut(router.HandleSignals(c.now, dead))
	}
	require.Len(t, c.toCallers, 1, "one balancer speaks")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	assert.Equal(t, uint64(1), c.routers[primary].Counters().FlowsBroken)
}

func TestIdleFlowIsForgotten(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Limits.IdleTimeoutMs = 2000
	c.configure()
	c.place(1, callerAddress)
	assert.Equal(t, 1, c.routers[1].FlowCount())
	assert.Equal(t, 1, c.routers[1].table.targets[100].placed)
	c.pass(3 * time.Second)
	assert.Zero(t, c.routers[1].FlowCount())
	assert.Zero(t, c.routers[1].table.targets[100].placed)
}

func TestOlderConfigurationsAndViewsAreIgnored(t *testing.T) {
	c := newCell(t, 2, 1)
	router := c.routers[1]
	c.carryOut(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 1}))
	assert.Equal(t, 1, len(router.table.byName), "not newer")
	c.carryOut(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 9, BaseRevision: 8}))
	assert.Equal(t, uint64(1), router.Revision(), "a difference to what is not here")
	c.view.Number = 3
	c.configure()
	older := &beamdoorv1.View{Cell: 1, Number: 2}
	c.carryOut(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 9, BaseRevision: 2, View: older}))
	assert.Equal(t, uint64(3), router.ViewNumber())
}

func TestUnknownServiceIsAnsweredOnlyUnderALease(t *testing.T) {
	c := newCell(t, 1, 1)
	nowhere := netip.MustParseAddrPort("10.1.0.77:5683")
	c.carryOut(c.routers[1].HandleCallerPacket(c.now, c.now, nowhere, callerAddress, request(t, codes.GET, 1, nil)))
	assert.Equal(t, codes.NotFound, c.lastCode())
	c.toCallers = nil
	c.cut[1] = true
	c.pass(4 * time.Second)
	c.carryOut(c.routers[1].HandleCallerPacket(c.now, c.now, nowhere, callerAddress, request(t, codes.GET, 1, nil)))
	assert.Empty(t, c.toCallers)
}

func TestMalformedPacketIsCountedAndReset(t *testing.T) {
	c := newCell(t, 1, 1)
	c.send(1, callerAddress, []byte{0x4f, 1, 0, 1})
	assert.Equal(t, uint64(1), c.routers[1].Counters().Malformed)
	assert.Len(t, c.toCallers, 1, "a confirmable message that cannot be read is reset")
}

func TestViewChangesMoveFewPartitions(t *testing.T) {
	members := func(ids ...uint32) (list []member) {
		for _, id := range ids {
			list = append(list, member{id: id})
		}
		return list
	}
	moved := 0
	for partition := range uint64(Partitions) {
		before := choosePair(partition, members(1, 2, 3, 4, 5))
		after := choosePair(partition, members(1, 2, 3, 4, 5, 6))
		if before != after {
			moved++
			assert.True(t, after.has(before.primary) || after.has(before.backup), "one owner stays")
			assert.True(t, after.has(6))
		}
	}
	assert.InDelta(t, Partitions/3, moved, Partitions/12, "two of six owners' places")
}

func TestDecisionForAKnownFlowAllocatesNothing(t *testing.T) {
	c := newCell(t, 3, 3)
	c.place(1, callerAddress)
	get := request(t, codes.GET, 2, nil)
	router := c.routers[1]
	router.HandleCallerPacket(c.now, c.now, bookingAddress, callerAddress, get)
	allocations := testing.AllocsPerRun(1000, func() {
		router.HandleCallerPacket(c.now, c.now, bookingAddress, callerAddress, get)
	})
	assert.Zero(t, allocations)
}

func BenchmarkKnownFlow(b *testing.B) {
	c := newCell(b, 3, 15)
	c.place(1, callerAddress)
	get := request(b, codes.GET, 2, nil)
	router := c.routers[1]
	b.ReportAllocs()
	for b.Loop() {
		router.HandleCallerPacket(c.now, c.now, bookingAddress, callerAddress, get)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	c := newCell(b, 1, 15)
	get := request(b, codes.GET, 2, nil)
	router := c.routers[1]
	address := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		address++
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(address >> 16), byte(address >> 8), byte(address)}), 4000)
		router.HandleCallerPacket(c.now, c.now, bookingAddress, caller, get)
	}
}

// BenchmarkFlowMemory reports the bytes that a flow takes at three sizes.
func BenchmarkFlowMemory(b *testing.B) {
	for _, flows := range []uint64{100_000, 300_000, 600_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(flowMemory(b, flows), "B/flow")
			}
		})
	}
}

func flowMemory(b *testing.B, flows uint64) float64 {
	c := newCell(b, 1, 15)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range flows {
		c.routers[1].flows.put(i*0x9e3779b97f4a7c15, flowRecord{targetID: 100})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(flows)
}

// Any single change of the members leaves one owner in place, and owners stand
// in two zones when there are two.
func TestPairsThroughChangesAndZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []member
		zones := rapid.SliceOfN(rapid.IntRange(1, 3), 2, 12).Draw(t, "zones")
		for i, zone := range zones {
			members = append(members, member{id: uint32(i + 1), zone: fmt.Sprint(zone)})
		}
		partition := rapid.Uint64Range(0, Partitions-1).Draw(t, "partition")
		before := choosePair(partition, members)
		changed := append([]member{}, members...)
		if rapid.Bool().Draw(t, "joins") {
			changed = append(changed, member{id: 99, zone: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "zone"))})
		} else {
			changed[rapid.IntRange(0, len(changed)-1).Draw(t, "goes")].leaving = true
		}
		after := choosePair(partition, changed)
		assert.True(t, after.has(before.primary) || after.has(before.backup))
		assert.NotEqual(t, before.primary, before.backup)
		if zones := map[string]bool{}; len(members) > 1 {
			for _, listed := range members {
				zones[listed.zone] = true
			}
			apart := members[before.primary-1].zone != members[before.backup-1].zone
			assert.Equal(t, len(zones) > 1, apart)
		}
	})
}

func TestRemovedTargetsAreForgottenOnceUnused(t *testing.T) {
	c := newCell(t, 1, 2)
	c.service.Limits.IdleTimeoutMs = 300_000
	c.configure()
	used := c.place(1, callerAddress)
	c.service.Targets = nil
	c.configure()
	assert.Len(t, c.routers[1].table.targets, 2)
	c.pass(3 * time.Minute)
	assert.Len(t, c.routers[1].table.targets, 1, "the one without flows is forgotten")
	c.send(1, callerAddress, request(t, codes.GET, 9, nil))
	assert.Equal(t, used, c.last().target, "the open flow goes on")
	c.pass(8 * time.Minute)
	assert.Empty(t, c.routers[1].table.targets)
}

func TestRestartedTargetEndsOnlyEarlierObservations(t *testing.T) {
	c := newCell(t, 1, 1)
	signal := func(sequence uint64, run uint32, uptime time.Duration) {
		signals := wire.Signals{Term: 1, Sequence: sequence, Targets: []wire.TargetSignal{
			{TargetID: 100, Weight: 128, Alive: true, Run: run, UptimeMilliseconds: uint32(uptime.Milliseconds())},
		}}
		c.carryOut(c.routers[1].HandleSignals(c.now, signals))
	}
	signal(1, 7, time.Minute)
	c.place(1, callerNumber(1))
	c.pass(10 * time.Second)
	c.place(1, callerNumber(2))
	c.toCallers = nil
	c.pass(time.Second)
	signal(2, 8, 3*time.Second)
	require.Len(t, c.toCallers, 1, "the second began with the present run")
	assert.Equal(t, callerNumber(1), c.toCallers[0].caller)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	signal(3, 8, 4*time.Second)
	assert.Len(t, c.toCallers, 1, "the same run again changes nothing")
}
