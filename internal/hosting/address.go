package hosting

import (
	"fmt"
	"net/netip"
)

// ReplacePorts returns addresses with their port replaced by the first port of a range.
// Malformed addresses are skipped; an empty range yields none.
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

// ReplacePort returns address with its port replaced by that of other, or "" when
// either cannot be parsed.
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
