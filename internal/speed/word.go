package speed

import (
	"math"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Report is what a source tells of a target.
type Report struct {
	Token directory.Token
	Sums
}

// TargetStep is what the leader tells of a target.
type TargetStep struct {
	Token directory.Token
	Step  Step
}

// The precision of sums in words: each in a byte or two.
const (
	countUnit  = 1.0 / 8
	meanUnit   = MaxSample / math.MaxInt8
	squareUnit = MaxSample * MaxSample / math.MaxUint8
	// ReportSize and ToldSize are the encoded sizes in bytes.
	ReportSize     = 8
	TargetStepSize = 5
)

// EncodeReports appends words.
func EncodeReports(encoder *wire.Encoder, words []Report) {
	encoder.Uint32(uint32(len(words)))
	for _, word := range words {
		count := max(word.Count, countUnit)
		encoder.Uint32(uint32(word.Token))
		encoder.Uint16(uint16(min(math.Round(count/countUnit), math.MaxUint16)))
		encoder.Uint8(uint8(int8(math.Round(clamp(word.Total/count, MaxSample) / meanUnit))))
		encoder.Uint8(uint8(math.Round(clamp(word.Squares/count, MaxSample*MaxSample) / squareUnit)))
	}
}

func clamp(value, limit float64) float64 { return min(max(value, -limit), limit) }

// DecodeReports reads words.
func DecodeReports(decoder *wire.Decoder) []Report {
	var words []Report
	for count := decoder.Count(ReportSize); count > 0; count-- {
		word := Report{Token: directory.Token(decoder.Uint32())}
		word.Count = float64(decoder.Uint16()) * countUnit
		word.Total = float64(int8(decoder.Uint8())) * meanUnit * word.Count
		word.Squares = float64(decoder.Uint8()) * squareUnit * word.Count
		words = append(words, word)
	}
	return words
}

// EncodeSteps appends what the leader tells.
func EncodeSteps(encoder *wire.Encoder, list []TargetStep) {
	encoder.Uint32(uint32(len(list)))
	for _, told := range list {
		encoder.Uint32(uint32(told.Token))
		encoder.Uint8(uint8(told.Step))
	}
}

// DecodeSteps reads what the leader tells.
func DecodeSteps(decoder *wire.Decoder) []TargetStep {
	var list []TargetStep
	for count := decoder.Count(TargetStepSize); count > 0; count-- {
		told := TargetStep{Token: directory.Token(decoder.Uint32()), Step: Step(decoder.Uint8())}
		told.Step = min(max(told.Step, -maxStep), maxStep)
		list = append(list, told)
	}
	return list
}

// ReportFrame returns the frame of words from a source: a node, or the address of a member.
func ReportFrame(source string, words []Report) wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(false)
	encoder.String(source)
	EncodeReports(&encoder, words)
	return wire.Frame{Kind: wire.FrameSpeeds, Payload: encoder.Buffer}
}

// StepFrame returns the frame of what the leader of a term tells.
func StepFrame(term uint64, list []TargetStep) wire.Frame {
	var encoder wire.Encoder
	encoder.Bool(true)
	encoder.Uint64(term)
	EncodeSteps(&encoder, list)
	return wire.Frame{Kind: wire.FrameSpeeds, Payload: encoder.Buffer}
}

// Message is the content of a frame: words of a source, or what a leader tells.
type Message struct {
	FromLeader bool
	Source     string
	Reports    []Report
	Term       uint64
	Steps      []TargetStep
}

// Decode reads the payload of a frame.
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
