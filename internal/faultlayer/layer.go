//go:build !soak

// Package faultlayer lets the soak test inject faults into a process that signals and
// proxies cannot cause: disk errors, slow writes, and a listen address behind a proxy.
// Faults are compiled in only with the build tag "soak"; in other builds the functions
// have no effect.
package faultlayer

// ListenAddress returns the address to listen on for an advertised address.
func ListenAddress(address string) string { return address }

// InjectDiskFault is called before a file is opened for writing, written or synced. It
// returns nil.
func InjectDiskFault() error { return nil }
