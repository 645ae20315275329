package store

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

func testRequestID(number uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, RequestIDSize-8), number)
}

func service(name string, number int, targets ...*beamdoorv1.Target) *beamdoorv1.Service {
	return &beamdoorv1.Service{
		Name: name, Address: fmt.Sprintf("10.1.0.%d:5683", number), Cell: 1,
		SharingPolicy: "builtin/even", HealthPolicy: "builtin/health", Targets: targets,
	}
}

func target(name, address string) *beamdoorv1.Target {
	return &beamdoorv1.Target{Name: name, Address: address}
}

var nextRequestID uint64 = 1 << 40

func apply(state *Store, base uint64, request *beamdoorv1.ApplyRequest) Result {
	nextRequestID++
	request.BaseRevision = base
	if request.RequestId == nil {
		request.RequestId = testRequestID(nextRequestID)
	}
	return state.Apply(Command{Kind: CommandApply, Body: request})
}

func applyServices(state *Store, services ...*beamdoorv1.Service) Result {
	return apply(state, state.Revision(), &beamdoorv1.ApplyRequest{Author: "test", Services: services})
}

func TestConflictingWrites(t *testing.T) {
	state := New(Options{})
	first := apply(state, 0, &beamdoorv1.ApplyRequest{Author: "ana", Services: []*beamdoorv1.Service{service("a", 1)}})
	require.Equal(t, ErrorNone, first.Code)
	second := apply(state, 0, &beamdoorv1.ApplyRequest{Author: "ben", Services: []*beamdoorv1.Service{service("b", 2)}})
	assert.Equal(t, ErrorConflict, second.Code)
	assert.Equal(t, first.Revision, second.ConflictRevision, "a conflict must report the revision of the accepted write")
	assert.Contains(t, second.Reason, "ana")
	assert.Nil(t, state.Service("b"))
	future := apply(state, 99, &beamdoorv1.ApplyRequest{Services: []*beamdoorv1.Service{service("b", 2)}})
	assert.Equal(t, ErrorInvalid, future.Code)
}

func TestViewChangeDoesNotConflictWithOperators(t *testing.T) {
	state := New(Options{})
	base := applyServices(state, service("a", 1)).Revision
	change := &beamdoorv1.ViewChange{Cell: 1, Added: []*beamdoorv1.Balancer{{Name: "b1", Nonce: 1}}}
	require.Equal(t, ErrorNone, state.Apply(Command{Kind: CommandChangeView, Body: change}).Code)
	assert.Equal(t, ErrorNone, apply(state, base, &beamdoorv1.ApplyRequest{Services: []*beamdoorv1.Service{service("b", 2)}}).Code)
}

func TestRequestDeduplicationAcrossSnapshot(t *testing.T) {
	state := New(Options{})
	request := &beamdoorv1.ApplyRequest{RequestId: testRequestID(1), Services: []*beamdoorv1.Service{service("a", 1)}}
	first := apply(state, 0, request)
	applyServices(state, service("b", 2))
	data, err := state.Encode()
	require.NoError(t, err)
	restored, err := Decode(data, Options{})
	require.NoError(t, err)
	again := apply(restored, 0, request)
	assert.True(t, again.Repeated)
	assert.Equal(t, first.Revision, again.Revision)
	assert.Equal(t, state.Revision(), restored.Revision(), "the request must not be applied twice")
}

func TestTargetKeepsIDAndDraining(t *testing.T) {
	state := New(Options{})
	applyServices(state, service("a", 1, target("t1", "10.0.0.1:1"), target("t2", "10.0.0.2:1")))
	before := proto.CloneOf(state.Service("a"))
	drain := &beamdoorv1.SetDrainingRequest{RequestId: testRequestID(7), Service: "a", Targets: []string{"t1"}, Draining: true}
	require.Equal(t, ErrorNone, state.Apply(Command{Kind: CommandSetDraining, Body: drain}).Code)
	applyServices(state, service("a", 1, target("t1", "10.0.0.1:1"), target("t2", "10.0.0.9:1")))
	after := state.Service("a")
	assert.Equal(t, before.Targets[0].Id, after.Targets[0].Id)
	assert.True(t, after.Targets[0].Draining, "applying a file must not end a drain")
	assert.NotEqual(t, before.Targets[1].Id, after.Targets[1].Id, "a target with a new address must get a new ID")
}

func TestInvalidWritesAreRejected(t *testing.T) {
	state := New(Options{})
	applyServices(state, service("a", 1, target("t1", "10.0.0.1:1")))
	revision := state.Revision()
	tests := map[string]*beamdoorv1.ApplyRequest{
		"services.b.address":           {Services: []*beamdoorv1.Service{service("b", 1)}},
		"services.b.targets.t.address": {Services: []*beamdoorv1.Service{service("b", 2, target("t", "10.0.0.1:1"))}},
		"policy \"missing\"":           {Services: []*beamdoorv1.Service{{Name: "c", Address: "10.1.0.3:1", SharingPolicy: "missing"}}},
		"removed_services":             {RemovedServices: []string{"zzz"}},
		"removed_policies":             {RemovedPolicies: []string{"zzz"}},
	}
	for want, request := range tests {
		result := apply(state, revision, request)
		assert.Equal(t, ErrorInvalid, result.Code, want)
		assert.Contains(t, result.Reason, want)
	}
	assert.Equal(t, revision, state.Revision())
	missing := &beamdoorv1.SetDrainingRequest{RequestId: testRequestID(8), Service: "a", Targets: []string{"t1", "zzz"}}
	assert.Equal(t, ErrorNotFound, state.Apply(Command{Kind: CommandSetDraining, Body: missing}).Code)
}

func TestStaleViewChangeIsRejected(t *testing.T) {
	state := New(Options{})
	add := func(base uint64, name string, nonce uint64) Result {
		change := &beamdoorv1.ViewChange{Cell: 1, BaseNumber: base, Added: []*beamdoorv1.Balancer{{Name: name, Nonce: nonce}}}
		return state.Apply(Command{Kind: CommandChangeView, Body: change})
	}
	require.Equal(t, ErrorNone, add(0, "b1", 1).Code)
	assert.True(t, state.View(1).Founding)
	assert.Equal(t, ErrorConflict, add(0, "b2", 2).Code)
	require.Equal(t, ErrorNone, add(1, "b2", 2).Code)
	assert.Len(t, state.View(1).Members, 2)
	assert.False(t, state.View(1).Founding)
	assert.NotEqual(t, state.View(1).Members[0].Id, state.View(1).Members[1].Id)
}

// balancerCopy is a balancer's configuration, built from incremental updates.
type balancerCopy struct {
	revision uint64
	services map[string]*beamdoorv1.Service
}

func (c *balancerCopy) update(config *beamdoorv1.CellConfig) {
	if config.BaseRevision == 0 {
		c.services = map[string]*beamdoorv1.Service{}
	}
	for _, name := range config.RemovedServices {
		delete(c.services, name)
	}
	for _, changed := range config.Services {
		c.services[changed.Name] = changed
	}
	c.revision = config.Revision
}

// Compares the store with a model under random conflicting writes, resends, snapshots
// and incremental updates of balancers.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New(Options{})
		model := map[string]string{}
		answers := map[uint64]Result{}
		newest := uint64(0)
		var requests uint64
		balancers := []*balancerCopy{{services: map[string]*beamdoorv1.Service{}}, {services: map[string]*beamdoorv1.Service{}}}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		write := func(t *rapid.T, request *beamdoorv1.ApplyRequest, change func()) {
			requests++
			request.RequestId = testRequestID(requests)
			base := rapid.SampledFrom([]uint64{state.Revision(), newest, newest / 2}).Draw(t, "base")
			result := apply(state, base, request)
			answers[requests] = result
			if base < newest {
				assert.Equal(t, ErrorConflict, result.Code)
				return
			}
			if result.Code == ErrorNone {
				newest = result.Revision
				change()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				chosen := name.Draw(t, "name")
				number := rapid.IntRange(1, 6).Draw(t, "number")
				put := service(chosen, number)
				write(t, &beamdoorv1.ApplyRequest{Services: []*beamdoorv1.Service{put}}, func() { model[chosen] = put.Address })
			},
			"remove": func(t *rapid.T) {
				chosen := name.Draw(t, "name")
				write(t, &beamdoorv1.ApplyRequest{RemovedServices: []string{chosen}}, func() { delete(model, chosen) })
			},
			"resend": func(t *rapid.T) {
				if requests == 0 {
					t.Skip("no request to resend")
				}
				number := rapid.Uint64Range(1, requests).Draw(t, "request")
				again := apply(state, 0, &beamdoorv1.ApplyRequest{RequestId: testRequestID(number)})
				assert.True(t, again.Repeated)
				assert.Equal(t, answers[number].Revision, again.Revision)
				assert.Equal(t, answers[number].Code, again.Code)
			},
			"snapshot": func(t *rapid.T) {
				data, err := state.Encode()
				require.NoError(t, err)
				state, err = Decode(data, Options{})
				require.NoError(t, err)
			},
			"balancer": func(t *rapid.T) {
				balancer := rapid.SampledFrom(balancers).Draw(t, "copy")
				balancer.update(state.CellConfig(1, balancer.revision))
				assert.Len(t, balancer.services, len(model))
				for chosen, address := range model {
					assert.Equal(t, address, balancer.services[chosen].GetAddress())
				}
			},
			"": func(t *rapid.T) {
				assert.Len(t, state.Services(), len(model))
				for chosen, address := range model {
					assert.Equal(t, address, state.Service(chosen).GetAddress())
				}
			},
		})
	})
}

func TestExpiredTombstoneForcesFullConfig(t *testing.T) {
	state := New(Options{})
	applyServices(state, service("kept", 250))
	for i := range TombstoneLimit + 2 {
		name := fmt.Sprintf("s%d", i)
		applyServices(state, service(name, 1))
		apply(state, state.Revision(), &beamdoorv1.ApplyRequest{RemovedServices: []string{name}})
	}
	assert.Zero(t, state.CellConfig(1, 2).BaseRevision, "a revision before the oldest tombstone must get the full configuration")
	recent := state.CellConfig(1, state.Revision()-2)
	assert.NotZero(t, recent.BaseRevision)
}

func FuzzDecodeCommand(f *testing.F) {
	data, err := EncodeCommand(Command{Kind: CommandApply, Body: &beamdoorv1.ApplyRequest{Author: "a"}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err == nil {
			New(Options{}).Apply(command)
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	state := New(Options{})
	applyServices(state, service("a", 1))
	data, err := state.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if decoded, err := Decode(data, Options{}); err == nil {
			_, _ = decoded.Encode()
		}
	})
}

// BenchmarkEncodeAtSize encodes states of three sizes.
func BenchmarkEncodeAtSize(b *testing.B) {
	for _, services := range []int{2750, 5500, 11000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			state := New(Options{})
			var all []*beamdoorv1.Service
			number := 0
			for i := range services {
				added := service(fmt.Sprintf("service-%d", i), 1)
				added.Address = fmt.Sprintf("10.%d.%d.1:5683", 100+i>>8, i&0xff)
				for ; number < 36000*(i+1)/11000; number++ {
					address := fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&0xff, number&0xff)
					added.Targets = append(added.Targets, target(fmt.Sprintf("target-%d", number), address))
				}
				all = append(all, added)
			}
			require.Equal(b, ErrorNone, applyServices(state, all...).Code)
			var size int
			for b.Loop() {
				data, err := state.Encode()
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
