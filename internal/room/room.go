// Package room shares the load of the nodes' links. Each node reports the load of its
// own link, members summarize the reports by zone, and each node keeps a view of its
// zone. Nothing is replicated. Each report replaces the previous one and expires.
package room

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// ReportInterval is the minimum time between two reports of a node, or two
	// summaries of a member, that differ.
	ReportInterval = time.Second
	// RepeatInterval is the time after which an unchanged report is sent again.
	RepeatInterval = 2 * time.Second
	// ReportLifetime is how long a report is valid. It is longer than two repeat
	// intervals, so a single lost report has no effect.
	ReportLifetime = 5 * time.Second
)

const (
	// WaitSteps is the number of steps into which reported waits are rounded up.
	WaitSteps = 12
	// minWait is the wait of the first step; each further step doubles it.
	minWait = time.Millisecond
)

// WaitToStep returns the smallest step that covers the wait, or the last step.
func WaitToStep(wait time.Duration) uint8 {
	step := uint8(0)
	for limit := minWait; wait > limit && step < WaitSteps-1; limit *= 2 {
		step++
	}
	return step
}

// StepToWait returns the longest wait of a step. The last step also stands for longer
// waits.
func StepToWait(step uint8) time.Duration { return minWait << min(step, WaitSteps-1) }

// LinkReport is the load of a node's link.
type LinkReport struct {
	// Rate is in bytes per second; 0 means not configured.
	Rate uint32
	// InPercent and OutPercent are the utilization of the link's two directions.
	InPercent, OutPercent uint8
	// WaitStep is the step of the wait that a new flow can expect.
	WaitStep uint8
	// Refusing is set while the node refuses new flows.
	Refusing bool
}

// utilization returns the utilization of the busier direction in percent.
func (r LinkReport) utilization() uint8 { return max(r.InPercent, r.OutPercent) }

// ZoneSummary summarizes the reports of a zone. Nodes are counted equally, whatever
// their rate, because routers hash flows evenly over the nodes of a zone.
type ZoneSummary struct {
	Zone string
	// RefusingNodes is the number of nodes that refuse new flows.
	RefusingNodes uint32
	// Rate and UsedRate are in bytes per second.
	Rate, UsedRate uint64
	// NodesByWait counts nodes by wait step.
	NodesByWait [WaitSteps]uint32
}

// Nodes returns the number of nodes.
func (z *ZoneSummary) Nodes() int {
	nodes := uint32(0)
	for _, count := range z.NodesByWait {
		nodes += count
	}
	return int(nodes)
}

// addReport adds the report of a node, capping values that are out of range.
func (z *ZoneSummary) addReport(report LinkReport) {
	z.Rate += uint64(report.Rate)
	z.UsedRate += uint64(report.Rate) * uint64(min(report.utilization(), 100)) / 100
	z.NodesByWait[min(report.WaitStep, WaitSteps-1)]++
	if report.Refusing {
		z.RefusingNodes++
	}
}

// add adds another summary of the same zone.
func (z *ZoneSummary) add(other ZoneSummary) {
	z.RefusingNodes += other.RefusingNodes
	z.Rate += other.Rate
	z.UsedRate += other.UsedRate
	for step, count := range other.NodesByWait {
		z.NodesByWait[step] += count
	}
}

// messageKind distinguishes the encoded messages.
type messageKind uint8

const (
	kindReport messageKind = iota + 1
	kindMember
	kindFleet
)

// Message is the payload of a frame: the report of a node, the summaries of a member or
// the summaries of the fleet.
type Message struct {
	// Report is the report of a node; nil if the message contains summaries.
	Report *LinkReport
	// Member is the address of the member that made the summaries; "" if they are those
	// of the fleet.
	Member string
	// Term is the term of the leader that summarized the fleet.
	Term  uint64
	Zones []ZoneSummary
}

// Frame encodes the message as a frame.
func (m Message) Frame() wire.Frame {
	var encoder wire.Encoder
	switch {
	case m.Report != nil:
		encoder.Uint8(uint8(kindReport))
		m.Report.encode(&encoder)
	case m.Member != "":
		encoder.Uint8(uint8(kindMember))
		encoder.String(m.Member)
		encodeZones(&encoder, m.Zones)
	default:
		encoder.Uint8(uint8(kindFleet))
		encoder.Uint64(m.Term)
		encodeZones(&encoder, m.Zones)
	}
	return wire.Frame{Kind: wire.FrameRoom, Payload: encoder.Buffer}
}

// Decode decodes the payload of a frame. An unknown kind yields an empty message.
func Decode(payload []byte) (Message, error) {
	decoder := wire.NewDecoder(payload)
	var message Message
	switch messageKind(decoder.Uint8()) {
	case kindReport:
		report := decodeReport(decoder)
		message.Report = &report
	case kindMember:
		message.Member = decoder.String()
		message.Zones = decodeZones(decoder)
	case kindFleet:
		message.Term = decoder.Uint64()
		message.Zones = decodeZones(decoder)
	}
	return message, decoder.Err("room.decode")
}

func (r LinkReport) encode(encoder *wire.Encoder) {
	encoder.Uint32(r.Rate)
	encoder.Uint8(r.InPercent)
	encoder.Uint8(r.OutPercent)
	encoder.Uint8(r.WaitStep)
	encoder.Bool(r.Refusing)
}

func decodeReport(decoder *wire.Decoder) LinkReport {
	return LinkReport{
		Rate:       decoder.Uint32(),
		InPercent:  decoder.Uint8(),
		OutPercent: decoder.Uint8(),
		WaitStep:   decoder.Uint8(),
		Refusing:   decoder.Bool(),
	}
}

// minZoneSize is the encoded size in bytes of a summary with an empty zone name.
const minZoneSize = 24 + 4*WaitSteps

func encodeZones(encoder *wire.Encoder, zones []ZoneSummary) {
	encoder.Uint32(uint32(len(zones)))
	for _, zone := range zones {
		encoder.String(zone.Zone)
		encoder.Uint32(zone.RefusingNodes)
		encoder.Uint64(zone.Rate)
		encoder.Uint64(zone.UsedRate)
		for _, count := range zone.NodesByWait {
			encoder.Uint32(count)
		}
	}
}

func decodeZones(decoder *wire.Decoder) []ZoneSummary {
	var zones []ZoneSummary
	for count := decoder.Count(minZoneSize); count > 0; count-- {
		zone := ZoneSummary{Zone: decoder.String(), RefusingNodes: decoder.Uint32(), Rate: decoder.Uint64(), UsedRate: decoder.Uint64()}
		for step := range zone.NodesByWait {
			zone.NodesByWait[step] = decoder.Uint32()
		}
		zones = append(zones, zone)
	}
	return zones
}
