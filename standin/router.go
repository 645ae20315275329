package standin

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeInterval is the period of readiness probes.
	probeInterval = 500 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed probes that takes an edge out.
	unhealthyThreshold = 2
)

// Hash selects how flows are spread over the healthy edges.
type Hash string

// Hash methods.
const (
	// HashRendezvous is rendezvous hashing: a change of one edge moves only its flows.
	HashRendezvous Hash = "steady"
	// HashMod hashes modulo the number of edges: any change moves nearly all flows.
	HashMod Hash = "mod"
)

// edge is an edge as seen by the routers.
type edge struct {
	packetAddr netip.AddrPort
	readyAddr  string
	healthy    bool
	failures   int
}

// router forwards callers' packets to the edges.
type router struct {
	hash   Hash
	mutex  sync.Mutex
	edges  []*edge
	client http.Client
	// impairment applies to packets on their way to edges.
	impairment impairment
}

// impairment makes the network lose, delay or duplicate one in so many packets; 0 disables
// an effect.
type impairment struct{ loseOneIn, delayOneIn, duplicateOneIn int }

// packetDelay is the extra latency of a delayed packet.
const packetDelay = 60 * time.Millisecond

func oneIn(count int) bool { return count > 0 && rand.IntN(count) == 0 }

func (r *router) setImpairment(value impairment) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.impairment = value
}

func newRouter(hash Hash) *router {
	return &router{hash: hash, client: http.Client{Timeout: probeInterval}}
}

func (r *router) add(packets netip.AddrPort, ready string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.edges = append(r.edges, &edge{packetAddr: packets, readyAddr: ready})
}

// run probes the edges until done is closed.
func (r *router) run(done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.mutex.Lock()
		fronts := append([]*edge(nil), r.edges...)
		r.mutex.Unlock()
		for _, node := range fronts {
			go r.probe(node)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (r *router) probe(node *edge) {
	response, err := r.client.Get("http://" + node.readyAddr + "/-/readiness")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ok {
		node.healthy = true
		node.failures = 0
		return
	}
	node.failures++
	if node.failures >= unhealthyThreshold {
		node.healthy = false
	}
}

// healthyCount returns the number of healthy edges.
func (r *router) healthyCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.healthyEdges())
}

func (r *router) healthyEdges() []*edge {
	var in []*edge
	for _, node := range r.edges {
		if node.healthy {
			in = append(in, node)
		}
	}
	return in
}

// route selects the edge for a packet. If fewer than half of the edges are healthy, it
// ignores health and uses all of them.
func (r *router) route(p packet) (netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes := r.healthyEdges()
	if len(nodes)*2 < len(r.edges) {
		nodes = r.edges
	}
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	key := flowHash(p)
	if r.hash == HashMod {
		return nodes[key%uint64(len(nodes))].packetAddr, true
	}
	best := nodes[0]
	highest := uint64(0)
	for _, node := range nodes {
		if score := rendezvousScore(key, node.packetAddr); score >= highest {
			best, highest = node, score
		}
	}
	return best.packetAddr, true
}

func flowHash(p packet) uint64 {
	source, target := p.source.Addr().As4(), p.destination.Addr().As4()
	buffer := append(source[:], target[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, p.source.Port())
	buffer = binary.BigEndian.AppendUint16(buffer, p.destination.Port())
	return xxhash.Sum64(buffer)
}

func rendezvousScore(key uint64, node netip.AddrPort) uint64 {
	ip := node.Addr().As4()
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, key), ip[:]...))
}

// send routes a packet and sends it over a socket.
func (r *router) send(socket *net.UDPConn, p packet) {
	address, ok := r.route(p)
	if !ok {
		return
	}
	r.mutex.Lock()
	current := r.impairment
	r.mutex.Unlock()
	write := func() { _, _ = socket.WriteToUDPAddrPort(p.encode(), address) }
	if oneIn(current.loseOneIn) {
		return
	}
	if oneIn(current.duplicateOneIn) {
		write()
	}
	if oneIn(current.delayOneIn) {
		time.AfterFunc(packetDelay, write)
		return
	}
	write()
}
