//go:build !soak

// Package faultlayer lets the fault soak harm a process from outside where no
// signal and no proxy can: its disk, and the address at which it is reached. Only
// programs built with the tag "soak" have the layer; in all others its functions
// do nothing and are inlined away.
package faultlayer

// ListenAddress returns where a process listens that others reach at an address.
func ListenAddress(address string) string { return address }

// InjectDiskFault returns the error of the disk for the next write or sync.
func InjectDiskFault() error { return nil }
