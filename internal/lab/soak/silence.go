package soak

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Silenced are connections that SilenceOpen made silent.
type Silenced struct {
	at time.Time
	// dialled and accepted are the ends that the proxy does not hold, by how the kernel
	// lists them: those of the processes that connected, and of the one behind the proxy.
	dialled, accepted []string
	// replacedAt is when the last of the first was seen to be gone.
	replacedAt time.Time
}

// Holds reports whether the proxy hands on what comes from an address.
func (p *Proxy) Holds(caller net.Addr) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		if connection.RemoteAddr().String() == caller.String() {
			return true
		}
	}
	return false
}

// SilenceOpen makes the open connections silent for good: a filter drops what reaches
// the proxy's ends, so that nothing is handed on or acknowledged, and no end sees the
// other one close. New connections work.
func (p *Proxy) SilenceOpen() (*Silenced, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	silenced := &Silenced{at: time.Now()}
	for connection, already := range p.open {
		if already {
			continue
		}
		err := dropIncoming(connection)
		if errors.Is(err, net.ErrClosed) {
			continue // The proxy has closed it and takes it off the list next.
		}
		if err != nil {
			return nil, err
		}
		p.open[connection] = true
		end := listed(connection.RemoteAddr()) + " " + listed(connection.LocalAddr())
		if connection.LocalAddr().String() == p.listener.Addr().String() {
			silenced.dialled = append(silenced.dialled, end)
		} else {
			silenced.accepted = append(silenced.accepted, end)
		}
	}
	return silenced, nil
}

// dropIncoming lets a connection lose all that comes, acknowledgements included.
func dropIncoming(connection net.Conn) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return errors.New("the connection is none of TCP")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	keepNothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &keepNothing}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, failed)
}

const (
	// connectionList is the kernel's list of connections.
	connectionList = "/proc/net/tcp"
	// establishedState is its word for one that is open.
	establishedState = "01"
)

// Open is what is left of silenced connections.
type Open struct {
	// Dialled is the number of ends that connected and have not given up, Accepted that
	// of the other ends. Who connected is the one that connects again.
	Dialled, Accepted int
	// Took is how long all that connected took to give up, or have not given up.
	Took time.Duration
}

// Open returns what is left of the connections.
func (s *Silenced) Open() (Open, error) {
	list, err := os.ReadFile(connectionList)
	if err != nil {
		return Open{}, err
	}
	open := Open{Dialled: countOpen(list, s.dialled), Accepted: countOpen(list, s.accepted)}
	if open.Dialled > 0 || s.replacedAt.IsZero() {
		s.replacedAt = time.Now()
	}
	open.Took = s.replacedAt.Sub(s.at)
	return open, nil
}

func countOpen(list []byte, ends []string) int {
	open := 0
	for _, end := range ends {
		if bytes.Contains(list, []byte(" "+end+" "+establishedState+" ")) {
			open++
		}
	}
	return open
}

// listed returns an address as the kernel lists it.
func listed(address net.Addr) string {
	end := netip.MustParseAddrPort(address.String())
	ip := end.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), end.Port())
}
