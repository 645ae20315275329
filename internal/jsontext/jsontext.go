// Package jsontext reads JSON objects whose members are partly kept as the text
// that was sent.
package jsontext

import (
	"bytes"
	"encoding/json"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Member reads a member that must be there. The error is a directory.Problem with
// the member's name as its field.
func Member(members map[string]json.RawMessage, name string, value any) error {
	text, present := members[name]
	if !present {
		return &directory.Problem{Field: name, Reason: "is missing"}
	}
	if err := json.Unmarshal(text, value); err != nil {
		return &directory.Problem{Field: name, Reason: err.Error()}
	}
	return nil
}

// Compact returns the text without blanks between its parts. Text that is no JSON
// is returned as it is.
func Compact(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, text); err != nil {
		return text
	}
	return buffer.Bytes()
}
