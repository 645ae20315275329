// Package jsontext decodes JSON objects and keeps some of their members as raw text.
package jsontext

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// Member decodes a required member of an object. The error is a directory.Problem with
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

// Compact removes insignificant whitespace from JSON text. Invalid JSON is returned
// unchanged.
func Compact(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, text); err != nil {
		return text
	}
	return buffer.Bytes()
}

// Omit encodes the members as one object, without the named ones.
func Omit(members map[string]json.RawMessage, names ...string) ([]byte, error) {
	rest := maps.Clone(members)
	for _, name := range names {
		delete(rest, name)
	}
	return json.Marshal(rest)
}

// Merge encodes an object with the members of a JSON object, which may be empty, and the
// added ones, which take precedence.
func Merge(text []byte, added map[string]any) ([]byte, error) {
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
	maps.Copy(members, added)
	return json.Marshal(members)
}

// List returns the raw text of each element.
func List[E any](elements []E, text func(element E) []byte) []json.RawMessage {
	list := make([]json.RawMessage, 0, len(elements))
	for _, element := range elements {
		list = append(list, text(element))
	}
	return list
}
