package speed

import (
	"math"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Report holds the sums that a source reports for a target.
type Report struct {
	Token directory.Token
	Sums
}

// TargetStep is the step that the leader has determined for a target.
type TargetStep struct {
	Token directory.Token
	Step  Step
}

// Resolution of encoded sums: of the count, the mean sample and the mean square.
const (
	countUnit  = 1.0 / 8
	meanUnit   = MaxSample / math.MaxInt8
	squareUnit = MaxSample * MaxSample / math.MaxUint8
	// ReportSize and TargetStepSize are the encoded sizes in bytes.
	ReportSize     = 8
	TargetStepSize = 5
)

// EncodeReports appends reports to a message.
func EncodeReports(encoder *wire.Encoder, reports []Report) {
	encoder.Uint32(uint32(len(reports)))
	for _, report := range reports {
		count := max(report.Count, countUnit)
		encoder.Uint32(uint32(report.Token))
		encoder.Uint16(uint16(min(math.Round(count/countUnit), math.MaxUint16)))
		encoder.Uint8(uint8(int8(math.Round(clamp(report.Total/count, MaxSample) / meanUnit))))
		encoder.Uint8(uint8(math.Round(clamp(report.Squares/count, MaxSample*MaxSample) / squareUnit)))
	}
}

func clamp(value, limit float64) float64 { return min(max(value, -limit), limit) }

// DecodeReports reads reports from a message.
func DecodeReports(decoder *wire.Decoder) []Report {
	var reports []Report
	for count := decoder.Count(ReportSize); count > 0; count-- {
		report := Report{Token: directory.Token(decoder.Uint32())}
		report.Count = float64(decoder.Uint16()) * countUnit
		report.Total = float64(int8(decoder.Uint8())) * meanUnit * report.Count
		report.Squares = float64(decoder.Uint8()) * squareUnit * report.Count
		reports = append(reports, report)
	}
	return reports
}

// EncodeSteps appends target steps to a message.
func EncodeSteps(encoder *wire.Encoder, steps []TargetStep) {
	encoder.Uint32(uint32(len(steps)))
	for _, target := range steps {
		encoder.Uint32(uint32(target.Token))
		encoder.Uint8(uint8(target.Step))
	}
}

// DecodeSteps reads target steps from a message.
func DecodeSteps(decoder *wire.Decoder) []TargetStep {
	var list []TargetStep
	for count := decoder.Count(TargetStepSize); count > 0; count-- {
		target := TargetStep{Token: directory.Token(decoder.Uint32()), Step: Step(decoder.Uint8())}
		target.Step = min(max(target.Step, -maxStep), maxStep)
		list = append(list, target)
	}
	return list
}

// ReportFrame returns a frame with the reports of a source. The source is the address
// of a member, or "" for a node.
func ReportFrame(source string, reports []Report) wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(false)
	encoder.String(source)
	EncodeReports(&encoder, reports)
	return wire.Frame{Kind: wire.FrameSpeeds, Payload: encoder.Buffer}
}

// StepFrame returns a frame with the steps that the leader of a term has determined.
func StepFrame(term uint64, steps []TargetStep) wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(true)
	encoder.Uint64(term)
	EncodeSteps(&encoder, steps)
	return wire.Frame{Kind: wire.FrameSpeeds, Payload: encoder.Buffer}
}

// Message is the content of a frame: Term and Steps if it is from the leader, otherwise
// Source and Reports.
type Message struct {
	FromLeader bool
	Source     string
	Reports    []Report
	Term       uint64
	Steps      []TargetStep
}

// Decode decodes the payload of a frame.
func Decode(payload []byte) (Message, error) {
	decoder := wire.NewDecoder(payload)
	message := Message{FromLeader: decoder.Bool()}
	if message.FromLeader {
		message.Term = decoder.Uint64()
		message.Steps = DecodeSteps(decoder)
	} else {
		message.Source = decoder.String()
		message.Reports = DecodeReports(decoder)
	}
	return message, decoder.Err("speed.decode")
}
