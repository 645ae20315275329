package hosting

import (
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
)

const (
	// profileHost is the loopback address: profiles expose memory contents and cost CPU.
	profileHost = "127.0.0.1"
	// profilePath is the path that go tool pprof expects.
	profilePath = "/debug/pprof/"
)

// ServeProfiles serves pprof profiles on the loopback interface; port 0 disables it.
func ServeProfiles(port uint16) error {
	if port == 0 {
		return nil
	}
	return Serve(net.JoinHostPort(profileHost, strconv.Itoa(int(port))), profileHandler())
}

func profileHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(profilePath, pprof.Index)
	mux.HandleFunc(profilePath+"cmdline", pprof.Cmdline)
	mux.HandleFunc(profilePath+"profile", pprof.Profile)
	mux.HandleFunc(profilePath+"symbol", pprof.Symbol)
	mux.HandleFunc(profilePath+"trace", pprof.Trace)
	return mux
}
