// Package explain merges the structured logs of several processes into a timeline
// for one flow, target or configuration version: the decisions of each process, with
// the age of the state that they were based on.
package explain

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Keys of the fields that every line has, and of those that correlate lines.
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

// maxLine is the size in bytes of the longest line that is accepted.
const maxLine = 1 << 20

// Field is a key-value pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a parsed log line.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Fields  []Field   `json:"fields"`
	// StateAge is the time since the process last applied an update of configuration
	// and targets; negative if the logs contain none.
	StateAge time.Duration `json:"stateAgeNanoseconds"`
}

// Value returns the value of the first field with the key, or "".
func (l Line) Value(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Read reads the lines of a log that can match a query. Text before the timestamp of
// a line is ignored, and lines without a timestamp are skipped. Lines of flows other
// than the queried one are dropped, since they are most of a large fleet's logs.
func Read(reader io.Reader, query Query) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, keyTime+"=")
		if start < 0 || query.skips(text[start:]) {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, steperror.Wrap("explain.read", "", scanner.Err())
}

// skips reports whether a line belongs to a flow other than the queried one. It
// searches the unparsed text because parsing is far slower.
func (q Query) skips(text string) bool {
	_, rest, hasCaller := strings.Cut(text, " "+keyCaller+"=")
	if !hasCaller {
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
