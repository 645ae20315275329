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
	fullRateLink = LinkLoad{Rate: modelRate, ConfiguredRate: modelRate}
	narrowLink   = LinkLoad{Rate: modelRate / 4, ConfiguredRate: modelRate}
	// busyNode is the load of a node that is busy while other nodes are idle.
	busyNode = LinkLoad{Rate: modelRate, ConfiguredRate: modelRate, Utilization: 0.75, PeersKnown: true, RetryWait: time.Millisecond, RefusalFraction: 1}
	// isRefusablePort permits a refusal on refusablePort, and not on acceptedPort.
	refusablePort, acceptedPort = uint16(1), uint16(callerTries)
)

// controllerWithUploads returns a controller that tracks uploads of a known size.
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

// totalPending returns the first result of pendingBytes.
func totalPending(pending, _ float64) float64 { return pending }

func TestDecideCapsHoldTime(t *testing.T) {
	patient := uploadRoute
	patient.Objective = time.Hour
	assert.Equal(t, maxHoldTime, controllerWithUploads(1).Decide(modelStart, modelFlow(acceptedPort), patient, fullRateLink).MaxHold)
	assert.Equal(t, time.Second/2, controllerWithUploads(1).Decide(modelStart, modelFlow(acceptedPort), uploadRoute, fullRateLink).MaxHold)
}

func TestDecideByLinkAndPeerLoad(t *testing.T) {
	urgent := uploadRoute
	urgent.Kind = directory.RouteOnce
	noObjective := uploadRoute
	noObjective.Objective = 0
	lateNode := busyNode
	lateNode.Utilization = 0.95
	peersBusy := lateNode
	peersBusy.RefusalFraction = 0
	backlogged := busyNode
	backlogged.QueuedBytes = modelRate / 4
	saturated := backlogged
	saturated.RetryWait = 2 * saturatedRetryWait
	late := busyNode
	late.QueuedBytes = modelRate
	cases := []struct {
		name    string
		route   directory.Route
		load    LinkLoad
		uploads int
		port    uint16
		action  Action
		reason  DecisionReason
	}{
		{"slow link without uploads", uploadRoute, narrowLink, 0, refusablePort, ActionAccept, ReasonNone},
		{"slow link with one upload", uploadRoute, narrowLink, 1, refusablePort, ActionRefuse, ReasonNarrowLink},
		{"third try on a slow link", uploadRoute, narrowLink, 1, acceptedPort, ActionHold, ReasonPaced},
		{"full-rate link, load of peers unknown", uploadRoute, fullRateLink, 1, refusablePort, ActionHold, ReasonPaced},
		{"request without a long body", urgent, narrowLink, 20, refusablePort, ActionAccept, ReasonNone},
		{"route without an objective", noObjective, narrowLink, 20, refusablePort, ActionAccept, ReasonNone},
		{"upload at a busy node, others idle", uploadRoute, busyNode, 0, refusablePort, ActionRefuse, ReasonCapacityElsewhere},
		{"third try of an upload at a busy node", uploadRoute, busyNode, 0, acceptedPort, ActionAccept, ReasonNone},
		{"small request that would be late, others idle", urgent, lateNode, 0, refusablePort, ActionRefuse, ReasonCapacityElsewhere},
		{"third try of a small request that would be late", urgent, lateNode, 0, acceptedPort, ActionAccept, ReasonNone},
		{"small request that would be in time", urgent, busyNode, 0, refusablePort, ActionAccept, ReasonNone},
		{"small request that would be late, others as busy", urgent, peersBusy, 0, refusablePort, ActionAccept, ReasonNone},
		{"upload that would be late", uploadRoute, late, 0, acceptedPort, ActionRefuse, ReasonLate},
		{"last try of an upload that can be in time", uploadRoute, backlogged, 0, acceptedPort, ActionHold, ReasonPaced},
		{"last try of an upload in a saturated zone", uploadRoute, saturated, 0, acceptedPort, ActionRefuse, ReasonLate},
		{"small request in a saturated zone", urgent, saturated, 0, acceptedPort, ActionAccept, ReasonNone},
		{"link without a configured rate", uploadRoute, LinkLoad{Utilization: 1, PeersKnown: true}, 20, refusablePort, ActionAccept, ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision := controllerWithUploads(c.uploads).Decide(modelStart, modelFlow(c.port), c.route, c.load)
			assert.Equal(t, c.action, decision.Action)
			assert.Equal(t, c.reason, decision.Reason)
		})
	}
}

// Of three tries from source ports that advance by one or two, at least one must not be
// refused for load, whatever the load.
func TestDecideAcceptsOneOfThreeTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := controllerWithUploads(100)
		step := rapid.Uint16Range(1, 2).Draw(t, "step")
		first := rapid.Uint16Range(1024, 49_000).Draw(t, "first")
		load := rapid.SampledFrom([]LinkLoad{narrowLink, busyNode, {Rate: modelRate, ConfiguredRate: modelRate, Utilization: 0.95, PeersKnown: true}}).Draw(t, "load")
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

// A node must refuse a caller only once within retryWindow, whatever the source ports.
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
	assert.False(t, admits(soon, other), "different caller")
	assert.False(t, admits(retryWindow, flowKey(9, int(refusablePort+2*callerTries))), "after the retry window")
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
	assert.Equal(t, maxRefusedCallers, refused, "a caller is not refused if the refusal cannot be recorded")
	assert.Len(t, a.refusedAt, maxRefusedCallers)
	assert.Equal(t, ActionRefuse, a.Decide(modelStart.Add(retryWindow), flowKey(9, int(refusablePort)), patient, narrowLink).Action)
	assert.Len(t, a.refusedAt, 1)
}

// A duplicate of an opening packet must not reset the flow.
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
	assert.InDelta(t, 40_000, a.expectedSize(uploadRoute.Address), 0, "incomplete uploads do not count")
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
	assert.Len(t, a.uploads, 1, "idle uploads are removed")
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
