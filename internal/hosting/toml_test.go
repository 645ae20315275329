package hosting

import (
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type tomlExample struct {
	Name  string            `toml:"nodeName"`
	Ports []uint16          `toml:"ports"`
	Zones map[string]string `toml:"zones"`
	Bound struct {
		Grace float64 `toml:"grace"`
		Count int     `toml:"count"`
	} `toml:"bound"`
	Begin bool `toml:"begin"`
}

func TestDecodeTOMLReportsEveryTypeError(t *testing.T) {
	var example tomlExample
	whole, err := DecodeTOML(`
nodeName = 5
ports = [1, 70000]
begin = "yes"
other = { a = 1 }
zones = { a = "r" }
[bound]
grace = 6
count = 1.5
`, &example)
	assert.True(t, whole)
	assert.EqualError(t, err, `nodeName: 5: must be a text
ports: [1 70000]: must be a list, each a whole number of its range
bound.count: 1.5: must be a whole number of its range
begin: yes: must be true or false`)
	assert.Equal(t, 6.0, example.Bound.Grace)
	assert.Equal(t, map[string]string{"a": "r"}, example.Zones)
}

func TestDecodeTOMLAcceptsIntegralFloats(t *testing.T) {
	for text, wanted := range map[string]int{"4100.0": 4100, "0.0": 0, "-3e2": -300} {
		var example tomlExample
		_, err := DecodeTOML("bound.count = "+text, &example)
		assert.NoError(t, err, text)
		assert.Equal(t, wanted, example.Bound.Count, text)
	}
	for _, text := range []string{"1.5", "1e19", "-1e19", "9223372036854775808.0", "inf", "nan"} {
		example := tomlExample{}
		example.Bound.Count = 7
		_, err := DecodeTOML("bound.count = "+text, &example)
		assert.ErrorContains(t, err, "must be a whole number of its range", text)
		assert.Zero(t, example.Bound.Count, text)
	}
}

func TestDecodeTOMLReportsNonTables(t *testing.T) {
	var example tomlExample
	whole, err := DecodeTOML("bound = 3\nzones = [1]\nNODENAME = \"a\"", &example)
	assert.True(t, whole)
	assert.EqualError(t, err, "zones: [1]: must be a table, each member a text\nbound: 3: must be a table")
	assert.Equal(t, "a", example.Name, "letters of any case, as the TOML package reads them")
}

func TestDecodeTOMLReportsInvalidTOML(t *testing.T) {
	var example tomlExample
	whole, err := DecodeTOML("nodeName = ", &example)
	assert.False(t, whole)
	require.ErrorContains(t, err, "file: ")
}

// Decoding key by key must give the same result as the TOML package.
func TestDecodeTOMLMatchesTOMLPackage(t *testing.T) {
	for _, text := range []string{
		"",
		"nodeName = \"a\"\nports = [1, 2]\nbegin = true\n[zones]\nb = \"r\"\n[bound]\ngrace = 1.5\ncount = 3\n",
		"bound.grace = 2\nbound.count = -1\nzones.a = \"x\"\nother = [{a = 1}]\n",
		"nodename = \"b\"\nPORTS = []\n[Bound]\nGrace = 3\n",
	} {
		var wanted, example tomlExample
		_, err := toml.Decode(text, &wanted)
		require.NoError(t, err)
		whole, err := DecodeTOML(text, &example)
		require.NoError(t, err, text)
		assert.True(t, whole)
		assert.Equal(t, wanted, example, text)
	}
}

func TestDecodeTOMLAcceptsEmptyValueForTable(t *testing.T) {
	for _, empty := range []string{`""`, `[]`} {
		var into struct {
			Zones  map[string]string `toml:"zones"`
			Limits struct {
				Rate float64 `toml:"rate"`
			} `toml:"limits"`
		}
		whole, err := DecodeTOML("zones = "+empty+"\nlimits = "+empty, &into)
		assert.True(t, whole)
		assert.NoError(t, err, empty)
	}
}
