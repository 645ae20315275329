package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A SIGHUP right after start must not terminate the process. Only the package
// initialization has run when the signal is sent.
func TestSignalAfterPackageInit(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case received := <-Signals:
		assert.Equal(t, syscall.SIGHUP, received)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the signal was not received")
	}
}
