//go:build soak

// Package faultlayer lets the soak test inject faults into a process that signals and
// proxies cannot cause: disk errors, slow writes, and a listen address behind a proxy.
// Faults are compiled in only with the build tag "soak"; in other builds the functions
// have no effect.
package faultlayer

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"time"
)

// Environment variables set by the soak test.
const (
	// listenVariable holds the listen address behind the proxy.
	listenVariable = "BEAMDOOR_SOAK_LISTEN"
	// diskVariable holds the path of a file with the disk fault to inject.
	diskVariable = "BEAMDOOR_SOAK_DISK"
)

// errDisk simulates a failing disk.
var errDisk = errors.New("faultlayer: injected disk error")

// ListenAddress returns the address to listen on for an advertised address. The
// environment overrides it.
func ListenAddress(address string) string {
	if listen := os.Getenv(listenVariable); listen != "" {
		return listen
	}
	return address
}

// InjectDiskFault is called before a file is opened for writing, written or synced. The
// fault file contains "full" or "fail" for an error, or a duration by which to delay the
// operation.
func InjectDiskFault() error {
	content, err := os.ReadFile(os.Getenv(diskVariable))
	if err != nil {
		return nil
	}
	switch word := strings.TrimSpace(string(content)); word {
	case "full":
		return syscall.ENOSPC
	case "fail":
		return errDisk
	default:
		if pause, err := time.ParseDuration(word); err == nil {
			time.Sleep(pause)
		}
		return nil
	}
}
