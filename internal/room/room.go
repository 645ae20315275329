// Package room tells nodes how the links of other nodes are used: each node's word, the
// sums of words by zone, and what a node makes of them. Nothing here is replicated. All
// of it are gauges: the newest one replaces the last one and ages out.
package room

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// ReportInterval is the time between two words of a node, or two sums of a member, that
	// differ.
	ReportInterval = time.Second
	// RepeatInterval is the time after which one is told though it is the same.
	RepeatInterval = 2 * time.Second
	// ReportLifetime is how long one counts: two that are lost change nothing.
	ReportLifetime = 5 * time.Second
)

const (
	// WaitSteps is the number of steps in which waits for a link are told.
	WaitSteps = 12
	// minWait is the wait of the first step; each further one is twice as long.
	minWait = time.Millisecond
)

// WaitToStep returns the step of a wait.
func WaitToStep(wait time.Duration) uint8 {
	step := uint8(0)
	for limit := minWait; wait > limit && step < WaitSteps-1; limit *= 2 {
		step++
	}
	return step
}

// StepToWait returns the longest wait of a step.
func StepToWait(step uint8) time.Duration { return minWait << min(step, WaitSteps-1) }

// LinkReport is what a node tells of its own link.
type LinkReport struct {
	// Rate is in bytes a second; 0 is not stated.
	Rate uint32
	// InPercent and OutPercent are the used shares in hundredths.
	InPercent, OutPercent uint8
	// WaitStep is the step of the wait that a new flow meets.
	WaitStep uint8
	// Refusing is set while the node refuses new flows.
	Refusing bool
}

// use returns the used share of the busier direction in hundredths.
func (w LinkReport) utilization() uint8 { return max(w.InPercent, w.OutPercent) }

// ZoneSummary sums up the words of the nodes of a zone. Routers hash within a zone and
// evenly, so that nodes are counted by their waits as they are met.
type ZoneSummary struct {
	Zone string
	// RefusingNodes is the number of nodes that refuse new flows.
	RefusingNodes uint32
	// Rate and UsedRate are in bytes a second.
	Rate, UsedRate uint64
	// NodesByWait counts nodes by the steps of their waits.
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

// addReport adds the word of a node. One that is out of range counts as full.
func (z *ZoneSummary) addReport(word LinkReport) {
	z.Rate += uint64(word.Rate)
	z.UsedRate += uint64(word.Rate) * uint64(min(word.utilization(), 100)) / 100
	z.NodesByWait[min(word.WaitStep, WaitSteps-1)]++
	if word.Refusing {
		z.RefusingNodes++
	}
}

// add adds another sum of the same zone.
func (z *ZoneSummary) add(other ZoneSummary) {
	z.RefusingNodes += other.RefusingNodes
	z.Rate += other.Rate
	z.UsedRate += other.UsedRate
	for step, count := range other.NodesByWait {
		z.NodesByWait[step] += count
	}
}

// form tells what a frame of room holds.
type messageForm uint8

const (
	formReport messageForm = iota + 1
	formMember
	formFleet
)

// Message is the payload of a frame: one of its parts is set.
type Message struct {
	// Report is a node's own.
	Report *LinkReport
	// Member is the address of the member whose sums these are, or "" for the fleet's.
	Member string
	// Term is the term of the leader that summed the fleet up.
	Term  uint64
	Zones []ZoneSummary
}

// Frame returns the frame of the message.
func (m Message) Frame() wire.Frame {
	var encoder wire.Encoder
	switch {
	case m.Report != nil:
		encoder.Uint8(uint8(formReport))
		m.Report.encode(&encoder)
	case m.Member != "":
		encoder.Uint8(uint8(formMember))
		encoder.String(m.Member)
		encodeZones(&encoder, m.Zones)
	default:
		encoder.Uint8(uint8(formFleet))
		encoder.Uint64(m.Term)
		encodeZones(&encoder, m.Zones)
	}
	return wire.Frame{Kind: wire.FrameRoom, Payload: encoder.Buffer}
}

// Decode reads the payload of a frame. A form of a later version is an empty message.
func Decode(payload []byte) (Message, error) {
	decoder := wire.NewDecoder(payload)
	var message Message
	switch messageForm(decoder.Uint8()) {
	case formReport:
		word := decodeReport(decoder)
		message.Report = &word
	case formMember:
		message.Member = decoder.String()
		message.Zones = decodeZones(decoder)
	case formFleet:
		message.Term = decoder.Uint64()
		message.Zones = decodeZones(decoder)
	}
	return message, decoder.Err("room.decode")
}

func (w LinkReport) encode(encoder *wire.Encoder) {
	encoder.Uint32(w.Rate)
	encoder.Uint8(w.InPercent)
	encoder.Uint8(w.OutPercent)
	encoder.Uint8(w.WaitStep)
	encoder.Bool(w.Refusing)
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

// minZoneSize is the encoded size in bytes of the sum of a zone without a name.
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
