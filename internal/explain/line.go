// Package explain reads the structured logs of several processes and tells the
// story of one flow, one target or one configuration: what each process
// decided, what it believed then, and how old that was.
package explain

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Keys of the fields that every line has, and of those that link lines.
const (
	keyTime        = "ts"
	keyProcess     = "process"
	keyEvent       = "event"
	keyName        = "name"
	keyMessage     = "msg"
	keyCaller      = "caller"
	keyTarget      = "target"
	keyToken       = "token"
	keyTargetToken = "target_token"
	keyVersion     = "version"
	keyLost        = "lost"
	keySuspects    = "suspects"
)

// maxLine is the largest line in bytes that is read.
const maxLine = 1 << 20

// Field is one key with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Fields  []Field   `json:"fields"`
	// StateAge is how long before this line the process last took an update of
	// configuration and targets; negative when that is not in the logs.
	StateAge time.Duration `json:"stateAgeNanoseconds"`
}

// Value returns the value of a field, or "".
func (l Line) Value(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Read reads the lines of a log that can belong to the answer of a question.
// What stands before the time stamp of a line is skipped, and lines without one
// are left out. Lines about single flows, by far the most of a large fleet, are
// kept only for the flow that is asked about.
func Read(reader io.Reader, question Query) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, keyTime+"=")
		if start < 0 || question.excludes(text[start:]) {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, steperror.Wrap("explain.read", "", scanner.Err())
}

// excludes reports whether a line is about a flow that is not asked about, by
// its text alone: parsing takes far longer.
func (q Query) excludes(text string) bool {
	_, rest, aboutFlow := strings.Cut(text, " "+keyCaller+"=")
	if !aboutFlow {
		return false
	}
	caller, _, _ := strings.Cut(rest, " ")
	return q.Caller == "" || caller != q.Caller
}

func parse(text string) (Line, bool) {
	line := Line{StateAge: -1}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case keyTime:
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = at
		case keyProcess:
			line.Process = value
		case keyEvent:
			line.Event = value
		case keyName:
			line.Name = value
		case keyMessage:
			line.Message = value
		default:
			line.Fields = append(line.Fields, Field{Key: key, Value: value})
		}
	}
	return line, line.Event != "" && decoder.Err() == nil
}
