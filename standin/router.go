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
	// probeInterval is the time between two readiness probes.
	probeInterval = 500 * time.Millisecond
	// missesUntilOut is the number of missed probes after which a node is out.
	missesUntilOut = 2
)

// Hash tells how flows are spread over the nodes that are in.
type Hash string

// The ways of hashing.
const (
	// HashRendezvous moves only the flows of a node that comes or goes.
	HashRendezvous Hash = "steady"
	// HashMod moves nearly all flows when a node comes or goes.
	HashMod Hash = "mod"
)

// front is an edge as the routers know it.
type front struct {
	packets netip.AddrPort
	ready   string
	in      bool
	misses  int
}

// router sends callers' packets to the edges.
type router struct {
	hash   Hash
	mutex  sync.Mutex
	fronts []*front
	client http.Client
	// harm is what happens to packets on their way to edges.
	harm packetHarm
}

// packetHarm is what the network does to packets: of so many, one is lost, one
// comes late and one comes twice. 0 means none.
type packetHarm struct{ loseOneIn, delayOneIn, doubleOneIn int }

// lateTime is how late a delayed packet comes.
const lateTime = 60 * time.Millisecond

func oneIn(count int) bool { return count > 0 && rand.IntN(count) == 0 }

func (r *router) setHarm(harm packetHarm) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.harm = harm
}

func newRouter(hash Hash) *router {
	return &router{hash: hash, client: http.Client{Timeout: probeInterval}}
}

func (r *router) add(packets netip.AddrPort, ready string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fronts = append(r.fronts, &front{packets: packets, ready: ready})
}

// run probes the edges until the channel is closed.
func (r *router) run(done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.mutex.Lock()
		fronts := append([]*front(nil), r.fronts...)
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

func (r *router) probe(node *front) {
	response, err := r.client.Get("http://" + node.ready + "/-/readiness")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ok {
		node.in = true
		node.misses = 0
		return
	}
	node.misses++
	if node.misses >= missesUntilOut {
		node.in = false
	}
}

// in returns the number of edges that are in.
func (r *router) in() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.usable())
}

func (r *router) usable() []*front {
	var in []*front
	for _, node := range r.fronts {
		if node.in {
			in = append(in, node)
		}
	}
	return in
}

// route returns the edge for a packet. When fewer than half are in, all are used.
func (r *router) route(p packet) (netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes := r.usable()
	if len(nodes)*2 < len(r.fronts) {
		nodes = r.fronts
	}
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	key := flowHash(p)
	if r.hash == HashMod {
		return nodes[key%uint64(len(nodes))].packets, true
	}
	best := nodes[0]
	highest := uint64(0)
	for _, node := range nodes {
		if score := mix(key, node.packets); score >= highest {
			best, highest = node, score
		}
	}
	return best.packets, true
}

func flowHash(p packet) uint64 {
	source, target := p.source.Addr().As4(), p.target.Addr().As4()
	buffer := append(source[:], target[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, p.source.Port())
	buffer = binary.BigEndian.AppendUint16(buffer, p.target.Port())
	return xxhash.Sum64(buffer)
}

func mix(key uint64, node netip.AddrPort) uint64 {
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
	harm := r.harm
	r.mutex.Unlock()
	write := func() { _, _ = socket.WriteToUDPAddrPort(p.encode(), address) }
	if oneIn(harm.loseOneIn) {
		return
	}
	if oneIn(harm.doubleOneIn) {
		write()
	}
	if oneIn(harm.delayOneIn) {
		time.AfterFunc(lateTime, write)
		return
	}
	write()
}
