package jsontext

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMember(t *testing.T) {
	members := map[string]json.RawMessage{"version": json.RawMessage("7")}
	var version int
	require.NoError(t, Member(members, "version", &version))
	assert.Equal(t, 7, version)
	assert.EqualError(t, Member(members, "routes", &version), "routes: is missing")
	var text string
	assert.ErrorContains(t, Member(members, "version", &text), "version: ")
}

func TestCompact(t *testing.T) {
	assert.Equal(t, `{"a":[1,2]}`, string(Compact(json.RawMessage("{ \"a\" : [1, 2]\n}"))))
	assert.Equal(t, "{ no", string(Compact(json.RawMessage("{ no"))))
}

func TestOmitAndMerge(t *testing.T) {
	members := map[string]json.RawMessage{"version": json.RawMessage("7"), "note": json.RawMessage(`{"a":1}`)}
	rest, err := Omit(members, "version")
	require.NoError(t, err)
	assert.JSONEq(t, `{"note":{"a":1}}`, string(rest))
	assert.Len(t, members, 2, "the argument is unchanged")
	whole, err := Merge(rest, map[string]any{"version": 8})
	require.NoError(t, err)
	assert.JSONEq(t, `{"note":{"a":1},"version":8}`, string(whole))
	whole, err = Merge(nil, map[string]any{"version": 8})
	require.NoError(t, err)
	assert.JSONEq(t, `{"version":8}`, string(whole))
	_, err = Merge([]byte("{ no"), nil)
	assert.Error(t, err)
}
