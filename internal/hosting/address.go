package hosting

import (
	"fmt"
	"net/netip"
)

// ReplacePorts returns the IP numbers of addresses with another port, the first of a range.
// An address or a range that is none is left out.
func ReplacePorts(addresses []string, ports []uint16) []string {
	var others []string
	for _, address := range addresses {
		at, err := netip.ParseAddrPort(address)
		if err == nil && len(ports) > 0 {
			others = append(others, fmt.Sprintf("%v:%d", at.Addr(), ports[0]))
		}
	}
	return others
}

// ReplacePort returns an IP address and port with the port of another one. It
// returns "" when either is none.
func ReplacePort(address, other string) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	port, err := netip.ParseAddrPort(other)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(at.Addr(), port.Port()).String()
}
