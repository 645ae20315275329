package directory

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCheckCollectsAllProblems(t *testing.T) {
	var check Check
	require.NoError(t, check.Err())
	check.Require(true, "name", "a", "must not be empty")
	check.Add(nil)
	require.NoError(t, check.Err())
	check.Require(false, "name", `""`, "must not be empty")
	check.IP("ip", "here")
	check.IP("other", "10.0.0.1")
	check.Address("listen", "10.0.0.1")
	var inner Check
	inner.Require(false, "losses.machines", -1, "must not be below 0")
	inner.Require(false, "losses.zones", -2, "must not be below 0")
	check.Add(inner.Err())
	check.Add(errors.New("odd"))
	assert.EqualError(t, check.Err(), `name: "": must not be empty
ip: here: must be an IP number
listen: 10.0.0.1: must be an IP number and a port
losses.machines: -1: must not be below 0
losses.zones: -2: must not be below 0
unknown: odd`)
	var first *Problem
	require.ErrorAs(t, check.Err(), &first)
	assert.Equal(t, "name", first.Field)
}

func TestCheckReportsFieldOnce(t *testing.T) {
	var check Check
	check.Require(false, "ip", 5, "must be a text")
	check.IP("ip", "")
	assert.EqualError(t, check.Err(), "ip: 5: must be a text")
}
