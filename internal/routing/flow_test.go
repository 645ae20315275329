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

func numberedCaller(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:4000", number/250, number%250+1))
}

// openFlow opens a flow with an observation and returns its target.
func (c *cell) openFlow(id uint32, caller netip.AddrPort) netip.AddrPort {
	before := len(c.toTargets)
	c.send(id, caller, request(c.t, codes.GET, 1, withObserve))
	require.Greater(c.t, len(c.toTargets), before, "the first packet of the flow was forwarded")
	got := c.lastForwarded()
	c.answerPacket(id, got, codes.Content)
	return got.target
}

func TestFlowKeepsTargetAcrossBalancersAndChanges(t *testing.T) {
	c := newCell(t, 4, 5)
	const flows = 200
	targets := map[int]netip.AddrPort{}
	for i := range flows {
		targets[i] = c.openFlow(uint32(i%4+1), numberedCaller(i))
	}
	check := func(when string) {
		for i := range flows {
			for _, member := range c.view.Members {
				c.send(member.Id, numberedCaller(i), request(t, codes.GET, 2, nil))
				assert.Equal(t, targets[i], c.lastForwarded().target, "%s: flow %d through %d", when, i, member.Id)
			}
		}
	}
	check("initial view")
	c.changeView(1, 2, 3, 4, 5)
	check("after a balancer joined")
	c.advance(30 * time.Second)
	c.disconnected[2] = true
	c.changeView(1, 3, 4, 5)
	check("after a balancer died")
	c.service.Targets = append(c.service.Targets, &beamdoorv1.Target{Id: 200, Name: "new", Address: "10.2.0.99:9000", Slots: 2, Connections: 2000})
	c.service.Targets[0].Draining = true
	c.configure()
	check("after a target began draining and another was added")
	c.service.Targets = c.service.Targets[1:]
	c.configure()
	check("after a target was removed")
}

func TestDrainingTargetGetsNoNewFlows(t *testing.T) {
	c := newCell(t, 2, 3)
	c.service.Targets[1].Draining = true
	c.configure()
	for i := range 300 {
		assert.NotEqual(t, c.service.Targets[1].Address, c.openFlow(1, numberedCaller(i)).String())
	}
}

func TestZeroWeightTargetGetsNoNewFlows(t *testing.T) {
	c := newCell(t, 1, 2)
	signals := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100, Weight: 0, Alive: true}}}
	c.execute(c.routers[1].HandleSignals(c.now, signals))
	for i := range 50 {
		assert.Equal(t, c.service.Targets[1].Address, c.openFlow(1, numberedCaller(i)).String())
	}
	stale := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 101, Weight: 0, Alive: true}}}
	c.execute(c.routers[1].HandleSignals(c.now, stale))
	c.openFlow(1, numberedCaller(60))
}

func TestNewFlowIsRefusedWhenAllTargetsAreFull(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Targets[0].Connections = 2
	c.configure()
	c.openFlow(1, numberedCaller(1))
	c.openFlow(1, numberedCaller(2))
	c.send(1, numberedCaller(3), request(t, codes.GET, 1, withObserve))
	assert.Len(t, c.toTargets, 2)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestReassignedTargetAddressGetsNoPacketsOfOldFlows(t *testing.T) {
	c := newCell(t, 1, 1)
	c.openFlow(1, callerAddress)
	address := c.service.Targets[0].Address
	c.service.Targets = nil
	c.configure()
	other := &beamdoorv1.Service{
		Id: 2, Name: "documents", Address: "10.1.0.2:5683", Cell: 1,
		Targets: []*beamdoorv1.Target{{Id: 300, Name: "d", Address: address, Slots: 2, Connections: 2000}},
	}
	c.revision++
	config := &beamdoorv1.CellConfig{Revision: c.revision, BaseRevision: c.revision - 1, Services: []*beamdoorv1.Service{other}}
	c.execute(c.routers[1].HandleConfig(c.now, config))
	before := len(c.toTargets)
	c.send(1, callerAddress, request(t, codes.GET, 2, nil))
	assert.Len(t, c.toTargets, before)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
}

func TestAnswerTaggedForAnotherServiceIsDropped(t *testing.T) {
	c := newCell(t, 1, 1)
	tag := wire.ForwardTag{ServiceID: 9, TargetID: 100, View: 1}
	c.execute(c.routers[1].HandleTargetPacket(c.now, bookingAddress, callerAddress, tag, request(t, codes.Content, 1, nil)))
	assert.Empty(t, c.toCallers)
	assert.Equal(t, uint64(1), c.routers[1].Counters().StaleAnswers)
}

func TestObserverIsNotifiedWhenTargetDies(t *testing.T) {
	c := newCell(t, 3, 1)
	c.openFlow(1, callerAddress)
	primary, _, _ := c.owners(callerAddress)
	c.toCallers = nil
	dead := wire.Signals{Term: 1, Sequence: 1, Targets: []wire.TargetSignal{{TargetID: 100}}}
	for _, router := range c.routers {
		c.execute(router.HandleSignals(c.now, dead))
	}
	require.Len(t, c.toCallers, 1, "only one balancer notifies the observer")
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	assert.Equal(t, uint64(1), c.routers[primary].Counters().FlowsBroken)
}

func TestIdleFlowExpires(t *testing.T) {
	c := newCell(t, 1, 1)
	c.service.Limits.IdleTimeoutMs = 2000
	c.configure()
	c.openFlow(1, callerAddress)
	assert.Equal(t, 1, c.routers[1].FlowCount())
	assert.Equal(t, 1, c.routers[1].table.targets[100].placedFlows)
	c.advance(3 * time.Second)
	assert.Zero(t, c.routers[1].FlowCount())
	assert.Zero(t, c.routers[1].table.targets[100].placedFlows)
}

func TestStaleConfigurationsAndViewsAreIgnored(t *testing.T) {
	c := newCell(t, 2, 1)
	router := c.routers[1]
	c.execute(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 1}))
	assert.Equal(t, 1, len(router.table.byName), "a configuration that is not newer is ignored")
	c.execute(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 9, BaseRevision: 8}))
	assert.Equal(t, uint64(1), router.Revision(), "a delta to an unknown revision is ignored")
	c.view.Number = 3
	c.configure()
	stale := &beamdoorv1.View{Cell: 1, Number: 2}
	c.execute(router.HandleConfig(c.now, &beamdoorv1.CellConfig{Revision: 9, BaseRevision: 2, View: stale}))
	assert.Equal(t, uint64(3), router.ViewNumber())
}

func TestUnknownServiceIsAnsweredOnlyWithLease(t *testing.T) {
	c := newCell(t, 1, 1)
	unknownAddress := netip.MustParseAddrPort("10.1.0.77:5683")
	c.execute(c.routers[1].HandleCallerPacket(c.now, c.now, unknownAddress, callerAddress, request(t, codes.GET, 1, nil)))
	assert.Equal(t, codes.NotFound, c.lastCode())
	c.toCallers = nil
	c.disconnected[1] = true
	c.advance(4 * time.Second)
	c.execute(c.routers[1].HandleCallerPacket(c.now, c.now, unknownAddress, callerAddress, request(t, codes.GET, 1, nil)))
	assert.Empty(t, c.toCallers)
}

func TestMalformedPacketIsCountedAndAnswered(t *testing.T) {
	c := newCell(t, 1, 1)
	c.send(1, callerAddress, []byte{0x4f, 1, 0, 1})
	assert.Equal(t, uint64(1), c.routers[1].Counters().Malformed)
	assert.Len(t, c.toCallers, 1, "a malformed confirmable message is answered")
}

func TestJoiningMemberMovesFewPartitions(t *testing.T) {
	members := func(ids ...uint32) (list []member) {
		for _, id := range ids {
			list = append(list, member{id: id})
		}
		return list
	}
	changed := 0
	for partition := range uint64(Partitions) {
		before := choosePair(partition, members(1, 2, 3, 4, 5))
		after := choosePair(partition, members(1, 2, 3, 4, 5, 6))
		if before != after {
			changed++
			assert.True(t, after.has(before.primary) || after.has(before.backup), "one owner remains")
			assert.True(t, after.has(6))
		}
	}
	assert.InDelta(t, Partitions/3, changed, Partitions/12, "the new member owns a third of the pairs")
}

func TestKnownFlowForwardingDoesNotAllocate(t *testing.T) {
	c := newCell(t, 3, 3)
	c.openFlow(1, callerAddress)
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
	c.openFlow(1, callerAddress)
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

// BenchmarkFlowMemory reports the heap bytes per flow at three table sizes.
func BenchmarkFlowMemory(b *testing.B) {
	for _, flows := range []uint64{100_000, 300_000, 600_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerFlow(b, flows), "B/flow")
			}
		})
	}
}

func bytesPerFlow(b *testing.B, flowCount uint64) float64 {
	c := newCell(b, 1, 15)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range flowCount {
		c.routers[1].flows.put(i*0x9e3779b97f4a7c15, flowRecord{targetID: 100})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(flowCount)
}

// Guards against a membership change that replaces both owners of a partition, and
// against pairs in a single zone when there are several.
func TestPairsSpanZonesAndKeepOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []member
		zones := rapid.SliceOfN(rapid.IntRange(1, 3), 2, 12).Draw(t, "zones")
		for i, zone := range zones {
			members = append(members, member{id: uint32(i + 1), zone: fmt.Sprint(zone)})
		}
		partition := rapid.Uint64Range(0, Partitions-1).Draw(t, "partition")
		before := choosePair(partition, members)
		changed := append([]member{}, members...)
		if rapid.Bool().Draw(t, "join") {
			changed = append(changed, member{id: 99, zone: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "zone"))})
		} else {
			changed[rapid.IntRange(0, len(changed)-1).Draw(t, "leaver")].leaving = true
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

func TestRemovedTargetsArePrunedWhenUnused(t *testing.T) {
	c := newCell(t, 1, 2)
	c.service.Limits.IdleTimeoutMs = 300_000
	c.configure()
	used := c.openFlow(1, callerAddress)
	c.service.Targets = nil
	c.configure()
	assert.Len(t, c.routers[1].table.targets, 2)
	c.advance(3 * time.Minute)
	assert.Len(t, c.routers[1].table.targets, 1, "the target without flows is deleted")
	c.send(1, callerAddress, request(t, codes.GET, 9, nil))
	assert.Equal(t, used, c.lastForwarded().target, "the open flow keeps its target")
	c.advance(8 * time.Minute)
	assert.Empty(t, c.routers[1].table.targets)
}

func TestTargetRestartEndsOnlyEarlierObservations(t *testing.T) {
	c := newCell(t, 1, 1)
	signal := func(sequence uint64, run uint32, uptime time.Duration) {
		signals := wire.Signals{Term: 1, Sequence: sequence, Targets: []wire.TargetSignal{
			{TargetID: 100, Weight: 128, Alive: true, Run: run, UptimeMilliseconds: uint32(uptime.Milliseconds())},
		}}
		c.execute(c.routers[1].HandleSignals(c.now, signals))
	}
	signal(1, 7, time.Minute)
	c.openFlow(1, numberedCaller(1))
	c.advance(10 * time.Second)
	c.openFlow(1, numberedCaller(2))
	c.toCallers = nil
	c.advance(time.Second)
	signal(2, 8, 3*time.Second)
	require.Len(t, c.toCallers, 1, "the second observation began in the current run")
	assert.Equal(t, numberedCaller(1), c.toCallers[0].caller)
	assert.Equal(t, codes.ServiceUnavailable, c.lastCode())
	signal(3, 8, 4*time.Second)
	assert.Len(t, c.toCallers, 1, "a signal of the same run has no effect")
}
