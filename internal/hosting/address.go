package hosting

import "net/netip"

// AtPortOf returns an IP address and port with the port of another one. It
// returns "" when either is none.
func AtPortOf(address, other string) string {
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
