// Package jsontext reads JSON objects whose members are partly kept as the text
// that was sent.
package jsontext

import (
	"bytes"
	"encoding/json"
	"maps"

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

// Omit returns the members but for those that are named, as the text of one object.
func Omit(members map[string]json.RawMessage, except ...string) ([]byte, error) {
	rest := maps.Clone(members)
	for _, name := range except {
		delete(rest, name)
	}
	return json.Marshal(rest)
}

// Merge returns the text of an object with the members of a text, which may be
// empty, and further ones.
func Merge(text []byte, further map[string]any) ([]byte, error) {
	members := map[string]any{}
	if len(text) > 0 {
		var rest map[string]json.RawMessage
		if err := json.Unmarshal(text, &rest); err != nil {
			return nil, err
		}
		for name, value := range rest {
			members[name] = value
		}
	}
	maps.Copy(members, further)
	return json.Marshal(members)
}

// List returns the text that is kept of each element.
func List[E any](elements []E, text func(element E) []byte) []json.RawMessage {
	list := make([]json.RawMessage, 0, len(elements))
	for _, element := range elements {
		list = append(list, text(element))
	}
	return list
}
