package balancer

import (
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// timestampRoom holds one control message with a timespec.
	timestampRoom = 64
	timespecSize  = 16
)

// enableTimestamps asks the kernel for the arrival time of each datagram
// (socket(7), SO_TIMESTAMPNS). With it a process that was stopped and goes on
// can tell a packet that has waited from a fresh one.
func enableTimestamps(connection *net.UDPConn) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return setErr
}

// waitedSince returns how long a datagram has waited in the socket. Without a
// timestamp it is 0, and so it is when the wall clock was set back since.
func waitedSince(now time.Time, control []byte) time.Duration {
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS || len(data) < timespecSize {
		return 0
	}
	seconds := int64(binary.NativeEndian.Uint64(data))
	nanoseconds := int64(binary.NativeEndian.Uint64(data[8:]))
	return max(now.Sub(time.Unix(seconds, nanoseconds)), 0)
}
