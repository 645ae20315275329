package hosting

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestServeProfilesIsDisabledForPortZero(t *testing.T) {
	require.NoError(t, ServeProfiles(0))
}

func TestServeProfilesListensOnLoopbackOnly(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	port := free.Addr().(*net.TCPAddr).Port
	require.NoError(t, free.Close())
	require.NoError(t, ServeProfiles(uint16(port)))
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d%sheap", port, profilePath))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
	_, err = net.DialTimeout("tcp4", fmt.Sprintf("127.0.0.2:%d", port), time.Second)
	assert.Error(t, err, "another address of the machine")
	assert.Error(t, ServeProfiles(uint16(port)), "the port is taken, and that is told")
}
