package steperror

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestErrorText(t *testing.T) {
	cause := errors.New("connection refused")
	err := Wrap("control.write", "10.0.0.1:7100", cause)
	assert.EqualError(t, err, "control.write [10.0.0.1:7100]: connection refused")
	assert.ErrorIs(t, err, cause)
	assert.Equal(t, "control.write", StepOf(err))
	assert.NoError(t, Wrap("control.write", "", nil))
	assert.EqualError(t, New("store.apply", "", "no such service"), "store.apply: no such service")
	assert.Empty(t, StepOf(cause))
}
