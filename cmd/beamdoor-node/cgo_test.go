package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/hangup"
)

// Guards against SIGHUP staying ignored after the Go runtime has started, which would
// disable reloading of the settings.
func TestSIGHUPIsCaughtAfterRuntimeStart(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case received := <-hangup.Signals:
		assert.Equal(t, syscall.SIGHUP, received)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the signal was not received")
	}
}
