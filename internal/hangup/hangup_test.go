package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An edge that had been started some milliseconds before was ended by a SIGHUP
// (soak seed 279771802). Nothing is called here before the signal comes: only the
// initialisation of the package has run.
func TestAHangupBeforeAnyCallDoesNotEndTheProcess(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case received := <-Signals:
		assert.Equal(t, syscall.SIGHUP, received)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the signal was not received")
	}
}
