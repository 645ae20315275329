//go:build soak

// Package faultlayer lets the fault soak harm a process from outside where no
// signal and no proxy can: its disk, and the address at which it is reached. Only
// programs built with the tag "soak" have the layer; in all others its functions
// do nothing and are inlined away.
package faultlayer

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"time"
)

// Variables of the environment that the soak sets.
const (
	// listenVariable is where the process listens, behind a proxy.
	listenVariable = "BEAMDOOR_SOAK_LISTEN"
	// diskVariable is the path of a file that says what is wrong with the disk.
	diskVariable = "BEAMDOOR_SOAK_DISK"
)

// errDisk is the error of a disk that fails.
var errDisk = errors.New("faultlayer: the disk fails")

// ListenAddress returns where a process listens that others reach at an address.
func ListenAddress(address string) string {
	if listen := os.Getenv(listenVariable); listen != "" {
		return listen
	}
	return address
}

// InjectDiskFault returns the error of the disk for the next write or sync: the file
// of the soak holds "full", "fail", or the time that each write takes.
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
