package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/steer"
)

var (
	uploadRoute = directory.Route{
		Address:   netip.MustParseAddrPort("198.18.0.1:80"),
		Kind:      directory.RouteUpload,
		Objective: time.Second,
	}
	fullRateLink = LinkLoad{Rate: modelStated, ConfiguredRate: modelStated}
	narrowLink   = LinkLoad{Rate: modelStated / 4, ConfiguredRate: modelStated}
	// busyNode is a node that is full while others are idle.
	busyNode = LinkLoad{Rate: modelStated, ConfiguredRate: modelStated, Utilization: 0.75, PeersKnown: true, RetryWait: time.Millisecond, RefusalFraction: 1}
	// refusablePort and acceptedPort are ports of openings that may be refused and that
	// are always taken.
	refusablePort, acceptedPort = uint16(1), uint16(callerTries)
)

// loaded returns an admission that has promised uploads of a known size.
func controllerWithUploads(uploads int) *AdmissionController {
	a := NewAdmissionController()
	first := modelFlow(60000)
	a.RecordAccepted(modelStart, first, uploadRoute)
	a.RecordData(modelStart, first, 1, 40_000)
	a.RecordEnd(first, true)
	for port := range uploads {
		a.RecordAccepted(modelStart, modelFlow(uint16(50000+port)), uploadRoute)
	}
	return a
}

// all returns the first of two values.
func totalPending(promised, _ float64) float64 { return promised }

func TestDecideCapsHoldTime(t *testing.T) {
	patient := uploadRoute
	patient.Objective = time.Hour
	assert.Equal(t, maxHoldTime, controllerWithUploads(1).Decide(modelStart, modelFlow(acceptedPort), patient, fullRateLink).MaxHold)
	assert.Equal(t, time.Second/2, controllerWithUploads(1).Decide(modelStart, modelFlow(acceptedPort), uploadRoute, fullRateLink).MaxHold)
}

func TestDecideByLinkAndPeerLoad(t *testing.T) {
	urgent := uploadRoute
	urgent.Kind = directory.RouteOnce
	without := uploadRoute
	without.Objective = 0
	fullest := busyNode
	fullest.Utilization = 0.95
	alike := fullest
	alike.RefusalFraction = 0
	crowded := busyNode
	crowded.QueuedBytes = modelStated / 4
	fullSite := crowded
	fullSite.RetryWait = 2 * saturatedRetryWait
	late := busyNode
	late.QueuedBytes = modelStated
	cases := []struct {
		name    string
		route   directory.Route
		load    LinkLoad
		uploads int
		port    uint16
		action  Action
		reason  DecisionReason
	}{
		{"a narrow link with nothing promised", uploadRoute, narrowLink, 0, refusablePort, ActionAccept, ReasonNone},
		{"a narrow link with one upload promised", uploadRoute, narrowLink, 1, refusablePort, ActionRefuse, ReasonNarrowLink},
		{"the third try of a caller", uploadRoute, narrowLink, 1, acceptedPort, ActionHold, ReasonPaced},
		{"a link as wide as stated, of which others are not known", uploadRoute, fullRateLink, 1, refusablePort, ActionHold, ReasonPaced},
		{"a request without a long body", urgent, narrowLink, 20, refusablePort, ActionAccept, ReasonNone},
		{"a route without an objective", without, narrowLink, 20, refusablePort, ActionAccept, ReasonNone},
		{"an upload at a full node while others are idle", uploadRoute, busyNode, 0, refusablePort, ActionRefuse, ReasonCapacityElsewhere},
		{"the third try at a full node", uploadRoute, busyNode, 0, acceptedPort, ActionAccept, ReasonNone},
		{"a small request at a full node that makes it late", urgent, fullest, 0, refusablePort, ActionRefuse, ReasonCapacityElsewhere},
		{"the third try of that", urgent, fullest, 0, acceptedPort, ActionAccept, ReasonNone},
		{"a small request that is in time all the same", urgent, busyNode, 0, refusablePort, ActionAccept, ReasonNone},
		{"a node that is as full as others", urgent, alike, 0, refusablePort, ActionAccept, ReasonNone},
		{"an upload that would be late", uploadRoute, late, 0, acceptedPort, ActionRefuse, ReasonLate},
		{"the last try of an upload that can be in time", uploadRoute, crowded, 0, acceptedPort, ActionHold, ReasonPaced},
		{"the same where all nodes are full", uploadRoute, fullSite, 0, acceptedPort, ActionRefuse, ReasonLate},
		{"a small request where all nodes are full", urgent, fullSite, 0, acceptedPort, ActionAccept, ReasonNone},
		{"an unstated link", uploadRoute, LinkLoad{Utilization: 1, PeersKnown: true}, 20, refusablePort, ActionAccept, ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision := controllerWithUploads(c.uploads).Decide(modelStart, modelFlow(c.port), c.route, c.load)
			assert.Equal(t, c.action, decision.Action)
			assert.Equal(t, c.reason, decision.Reason)
		})
	}
}

// Whatever is known of others, a caller whose ports go by one or two has one of its tries
// taken, but for uploads that would be late here.
func TestDecideAcceptsOneOfThreeTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := controllerWithUploads(100)
		step := rapid.Uint16Range(1, 2).Draw(t, "step")
		first := rapid.Uint16Range(1024, 49_000).Draw(t, "first")
		load := rapid.SampledFrom([]LinkLoad{narrowLink, busyNode, {Rate: modelStated, ConfiguredRate: modelStated, Utilization: 0.95, PeersKnown: true}}).Draw(t, "load")
		load.RefusalFraction = rapid.Float64Range(0, 1).Draw(t, "refused")
		route := uploadRoute
		route.Kind = rapid.SampledFrom([]directory.RouteKind{directory.RouteRepeatable, directory.RouteOnce, directory.RouteUpload}).Draw(t, "kind")
		refused := 0
		for try := range uint16(callerTries) {
			now := modelStart.Add(time.Duration(try) * retryWindow)
			decision := a.Decide(now, modelFlow(first+step*try), route, load)
			if decision.Action == ActionRefuse && decision.Reason != ReasonLate {
				refused++
			}
		}
		require.Less(t, refused, callerTries)
	})
}

// Whatever ports a caller's tries take: one node refuses no more than one of them for
// room elsewhere.
func TestDecideRefusesCallerOncePerRetryWindow(t *testing.T) {
	a := controllerWithUploads(100)
	patient := uploadRoute
	patient.Objective = time.Hour
	admits := func(after time.Duration, flow steer.FlowKey) bool {
		return a.Decide(modelStart.Add(after), flow, patient, narrowLink).Action != ActionRefuse
	}
	assert.False(t, admits(0, flowKey(9, int(refusablePort))))
	soon := retryWindow - 1
	assert.True(t, admits(soon, flowKey(9, int(refusablePort+callerTries))))
	other := flowKey(9, int(refusablePort))
	other.Caller = netip.AddrPortFrom(netip.MustParseAddr("100.64.9.9"), refusablePort)
	assert.False(t, admits(soon, other), "another caller")
	assert.False(t, admits(retryWindow, flowKey(9, int(refusablePort+2*callerTries))), "another request")
}

func TestRefusedCallersAreBounded(t *testing.T) {
	a := controllerWithUploads(100)
	caller := netip.MustParseAddr("100.64.0.0")
	patient := uploadRoute
	patient.Objective = time.Hour
	refused := 0
	for range 2 * maxRefusedCallers {
		caller = caller.Next()
		flow := flowKey(9, int(refusablePort))
		flow.Caller = netip.AddrPortFrom(caller, refusablePort)
		if a.Decide(modelStart, flow, patient, narrowLink).Action == ActionRefuse {
			refused++
		}
	}
	assert.Equal(t, maxRefusedCallers, refused, "who cannot be remembered is taken")
	assert.Len(t, a.refusedAt, maxRefusedCallers)
	assert.Equal(t, ActionRefuse, a.Decide(modelStart.Add(retryWindow), flowKey(9, int(refusablePort)), patient, narrowLink).Action)
	assert.Len(t, a.refusedAt, 1)
}

// A copy of an opening packet that the network made must not reset the flow.
func TestDecideAcceptsDuplicateOpening(t *testing.T) {
	a := controllerWithUploads(0)
	flow := modelFlow(refusablePort)
	assert.Equal(t, ActionAccept, a.Decide(modelStart, flow, uploadRoute, fullRateLink).Action)
	for port := range uint16(20) {
		a.RecordAccepted(modelStart, modelFlow(50000+port), uploadRoute)
	}
	assert.Equal(t, ActionAccept, a.Decide(modelStart, flow, uploadRoute, narrowLink).Action)
}

func TestUploadSizesAreBounded(t *testing.T) {
	a := NewAdmissionController()
	for number := range 3 * maxTrackedRoutes {
		route := uploadRoute
		route.Address = netip.AddrPortFrom(route.Address.Addr(), uint16(number+1))
		a.RecordAccepted(modelStart, modelFlow(1), route)
		a.RecordData(modelStart, modelFlow(1), 1, 1200)
		a.RecordEnd(modelFlow(1), true)
		assert.InDelta(t, 1200, a.expectedSize(route.Address), 0)
	}
	assert.LessOrEqual(t, len(a.uploadSizes), maxTrackedRoutes)
}

func TestPendingBytesExcludeSentData(t *testing.T) {
	a := controllerWithUploads(1)
	assert.InDelta(t, 40_000, totalPending(a.pendingBytes(modelStart)), 0)
	a.RecordData(modelStart, modelFlow(50000), 1, 1200)
	a.RecordData(modelStart, modelFlow(50000), 12_001, 1200)
	a.RecordData(modelStart, modelFlow(50000), 1, 1200)
	assert.InDelta(t, 40_000-13_200, totalPending(a.pendingBytes(modelStart)), 0)
	a.RecordEnd(modelFlow(50000), false)
	assert.Zero(t, totalPending(a.pendingBytes(modelStart)))
	assert.InDelta(t, 40_000, a.expectedSize(uploadRoute.Address), 0, "a broken upload tells no size")
}

func TestPendingBytesExcludeIdleUploads(t *testing.T) {
	a := controllerWithUploads(1)
	assert.Zero(t, totalPending(a.pendingBytes(modelStart.Add(uploadIdleTimeout+1))))
}

func TestTrackedUploadsAreBounded(t *testing.T) {
	a := NewAdmissionController()
	for port := range uint16(5000) {
		a.RecordAccepted(modelStart, modelFlow(port), uploadRoute)
	}
	assert.Len(t, a.uploads, maxTrackedUploads)
	later := modelStart.Add(uploadIdleTimeout + 1)
	a.RecordAccepted(later, modelFlow(6000), uploadRoute)
	assert.Len(t, a.uploads, 1, "what is silent makes room")
}

func TestUploadSizesAreLearnedPerRoute(t *testing.T) {
	a := controllerWithUploads(0)
	flow := modelFlow(1)
	a.RecordAccepted(modelStart, flow, uploadRoute)
	a.RecordData(modelStart, flow, 1, 8_000)
	a.RecordEnd(flow, true)
	assert.InDelta(t, 36_000, a.expectedSize(uploadRoute.Address), 0)
	assert.InDelta(t, windowDataBytes, a.expectedSize(netip.MustParseAddrPort("198.18.0.2:80")), 0)
}
