package standin

import (
	"net/netip"
	"sync"
	"time"
)

// maxLinkDelay bounds the queue of a rate-limited link; datagrams that arrive while the
// backlog exceeds it are dropped.
const maxLinkDelay = 100 * time.Millisecond

// links simulates rate limits on the paths from nodes to targets. A node's datagrams to
// all targets share one link.
type links struct {
	mutex   sync.Mutex
	limited map[netip.Addr]*limitedLink
}

// limitedLink transmits datagrams in sequence at a fixed rate.
type limitedLink struct {
	bytesPerSecond float64
	// freeAt is when the queued datagrams have been transmitted.
	freeAt time.Time
}

// limit sets the rate of a node's link; 0 Mbit/s removes the limit.
func (l *links) limit(node netip.Addr, mbps float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if mbps == 0 {
		delete(l.limited, node)
		return
	}
	if l.limited == nil {
		l.limited = map[netip.Addr]*limitedLink{}
	}
	l.limited[node] = &limitedLink{bytesPerSecond: mbps * 1e6 / 8}
}

// deliver calls arrive when the node's link has transmitted a datagram, or never if the
// datagram is dropped.
func (l *links) deliver(node netip.Addr, size int, arrive func()) {
	delay, ok := l.delay(node, size, time.Now())
	switch {
	case !ok:
	case delay == 0:
		arrive()
	default:
		time.AfterFunc(delay, arrive)
	}
}

// delay queues a datagram on the node's link and returns its delay, or false if it is
// dropped.
func (l *links) delay(node netip.Addr, size int, now time.Time) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link, exists := l.limited[node]
	if !exists {
		return 0, true
	}
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	if link.freeAt.Sub(now) > maxLinkDelay {
		return 0, false
	}
	link.freeAt = link.freeAt.Add(time.Duration(float64(size) / link.bytesPerSecond * float64(time.Second)))
	return link.freeAt.Sub(now), true
}
