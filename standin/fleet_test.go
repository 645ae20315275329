package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

// A version acknowledged during a read may be missing from it; one acknowledged before the
// read must not be.
func TestCheckReadUsesVersionAcknowledgedBeforeRead(t *testing.T) {
	cases := []struct {
		name                string
		before, during, got uint64
		broken              []flowrules.Rule
	}{
		{"the same", 5, 5, 5, nil},
		{"acknowledged during the read", 5, 6, 5, nil},
		{"older than acknowledged before", 5, 5, 4, []flowrules.Rule{flowrules.Lost}},
		{"never sent", 5, 5, 9, []flowrules.Rule{flowrules.Config}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet := New(Settings{})
			fleet.version, fleet.acknowledged = 6, test.before
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				fleet.mutex.Lock()
				fleet.acknowledged = test.during
				fleet.mutex.Unlock()
				_, _ = fmt.Fprintf(writer, `{"version":%d}`, test.got)
			}))
			defer server.Close()
			require.NoError(t, fleet.checkRead(strings.TrimPrefix(server.URL, "http://")))
			var broken []flowrules.Rule
			for _, breach := range fleet.Report().Breaches {
				broken = append(broken, breach.Rule)
			}
			assert.Equal(t, test.broken, broken)
		})
	}
}
