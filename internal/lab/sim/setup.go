package sim

import (
	"fmt"
	"net/netip"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

// Setup is a simulated deployment.
type Setup struct {
	Name        string
	Priority    string
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Booking is the service with open flows and requests, and Documents the
	// one with downloads.
	Booking          netip.AddrPort
	Documents        netip.AddrPort
	BookingName      string
	DocumentsName    string
	BookingTargets   int
	DocumentsTargets int
	Slots            int
	Connections      uint32
}

const zoneCount = 3

func (s Setup) zone(number int) string { return fmt.Sprintf("%s-%d", s.Name, number%zoneCount+1) }

// Setups returns the simulated deployments.
func Setups() []Setup {
	patitas := Setup{
		Name:             "patitas",
		Priority:         "flows",
		ZoneDelay:        1500 * time.Microsecond,
		ClientDelay:      time.Millisecond,
		Booking:          netip.MustParseAddrPort("10.10.0.1:5683"),
		Documents:        netip.MustParseAddrPort("10.10.0.2:5683"),
		BookingName:      "booking",
		DocumentsName:    "documents",
		BookingTargets:   15,
		DocumentsTargets: 4,
		Slots:            2,
		Connections:      2000,
	}
	perth := patitas
	perth.Name = "perth"
	perth.Priority = "balance"
	perth.ClientDelay = 3 * time.Millisecond
	perth.BookingName = "address"
	perth.DocumentsName = "tiles"
	return []Setup{patitas, perth}
}

// serviceSetup is one service of a set-up.
type serviceSetup struct {
	name    string
	address netip.AddrPort
	network byte
	targets int
}

func (s Setup) booking() serviceSetup {
	return serviceSetup{s.BookingName, s.Booking, 1, s.BookingTargets}
}

func (s Setup) documents() serviceSetup {
	return serviceSetup{s.DocumentsName, s.Documents, 2, s.DocumentsTargets}
}

// Plan is the size of a run and its load.
type Plan struct {
	Members   int
	Balancers int
	Cells     uint32
	Boards    int
	// PostRate and VisitRate are requests and short flows a second.
	PostRate         float64
	VisitRate        float64
	Downloads        int
	ServiceTime      time.Duration
	ColdStart        time.Duration
	Queue            int
	DetectDuplicates bool
	SnapshotEntries  int
	// Length is the time with load, and Settle the time after it.
	Length time.Duration
	Settle time.Duration
	// MostUnfinished is the largest share of requests that may end without
	// the target's answer.
	MostUnfinished float64
	// DownloadsMayFail allows downloads that get no answer at all for longer
	// than their callers wait; what comes must be right nevertheless.
	DownloadsMayFail bool
	// ViewsStay says that the scenario touches no balancer, so that none may
	// leave its view.
	ViewsStay bool
	// NeverQuiet says that the faults last until the end.
	NeverQuiet bool
}

func defaultPlan() Plan {
	return Plan{
		Members:         3,
		Balancers:       5,
		Cells:           1,
		Boards:          40,
		PostRate:        30,
		VisitRate:       10,
		Downloads:       2,
		ServiceTime:     20 * time.Millisecond,
		Queue:           64,
		SnapshotEntries: 64,
		Length:          40 * time.Second,
		Settle:          14 * time.Second,
		MostUnfinished:  0.1,
	}
}

// services returns the first configuration.
func (w *World) services() []*beamdoorv1.Service {
	return []*beamdoorv1.Service{
		w.service(w.setup.booking()),
		w.service(w.setup.documents()),
	}
}

func (w *World) service(from serviceSetup) *beamdoorv1.Service {
	service := &beamdoorv1.Service{
		Name:          from.name,
		Address:       from.address.String(),
		Cell:          1,
		Priority:      w.setup.Priority,
		SharingPolicy: "builtin/even",
		HealthPolicy:  "builtin/health",
		Limits: &beamdoorv1.Limits{
			DefaultDeadlineMs: uint32(requestDeadline.Milliseconds()),
			RetransmitSpanMs:  10_000,
			IdleTimeoutMs:     600_000,
		},
	}
	for _, name := range w.names {
		back := w.backends[name]
		if back.service == from.address && w.byAddress[back.address] == back {
			service.Targets = append(service.Targets, w.targetOf(back))
		}
	}
	return service
}

func (w *World) targetOf(back *backendProcess) *beamdoorv1.Target {
	return &beamdoorv1.Target{
		Name:        back.name,
		Address:     back.address.String(),
		Admin:       back.address.String(),
		Zone:        back.zone,
		Slots:       uint32(w.setup.Slots),
		Connections: w.setup.Connections,
	}
}
