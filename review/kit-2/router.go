package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router delivers each packet of a client to an edge, chosen by a steady hash over the nodes
// that answer that they are ready; it asks each of them twice a second.
type router struct {
	mutex sync.Mutex
	nodes []*routed
	done  chan struct{}
}

type routed struct {
	packets netip.AddrPort
	ready   string
	misses  int
}

func newRouter(c *cluster) *router {
	r := &router{done: make(chan struct{})}
	for _, m := range c.edges {
		r.nodes = append(r.nodes, &routed{
			packets: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", m.ip, c.datagrams)), ready: fmt.Sprintf("%s:%d", m.ip, c.ready),
		})
	}
	for _, node := range r.nodes {
		go r.ask(node)
	}
	return r
}

func (r *router) ask(node *routed) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for {
		response, err := client.Get("http://" + node.ready + "/-/readiness")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mutex.Lock()
		node.misses++
		if ok {
			node.misses = 0
		}
		r.mutex.Unlock()
		select {
		case <-r.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) send(socket *net.UDPConn, p packet) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *routed
	highest := uint64(0)
	for _, node := range r.nodes {
		if node.misses >= 2 {
			continue
		}
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, p.src, p.dst, node.packets)
		score := hash.Sum64() * 0x9e3779b97f4a7c15
		score ^= score >> 29
		if best == nil || score > highest {
			best, highest = node, score
		}
	}
	if best != nil {
		_, _ = socket.WriteToUDPAddrPort(p.encode(), best.packets)
	}
}
