package balancer

import (
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// timestampBufferSize has room for one control message with a timespec.
	timestampBufferSize = 64
	timespecSize        = 16
)

// enableTimestamps makes the kernel attach the arrival time to each datagram
// (SO_TIMESTAMPNS in socket(7)), so that a process that was suspended can tell how
// long a packet has been queued.
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

// socketDelay returns how long a datagram was queued in the socket. It returns 0
// without a timestamp, or when the wall clock was set back in the meantime.
func socketDelay(now time.Time, control []byte) time.Duration {
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS || len(data) < timespecSize {
		return 0
	}
	seconds := int64(binary.NativeEndian.Uint64(data))
	nanoseconds := int64(binary.NativeEndian.Uint64(data[8:]))
	return max(now.Sub(time.Unix(seconds, nanoseconds)), 0)
}
