package strength

// Parts of a process's memory that bounded things may take.
const (
	// flowMemoryDivisor is that of the flows that a node keeps, as one of so many parts.
	flowMemoryDivisor = 4
	// queueMemoryDivisor is that of the packets that wait before a node is ready.
	queueMemoryDivisor = 32
)

// MaxFlows returns the number of flows of so many bytes that a node keeps, and usual at
// most.
func (s Resources) MaxFlows(usual int, size int64) int {
	return s.countFitting(usual, flowMemoryDivisor, size)
}

// MaxQueuedPackets returns the number of packets of so many bytes that wait before a node is
// ready, and usual at most.
func (s Resources) MaxQueuedPackets(usual int, size int64) int {
	return s.countFitting(usual, queueMemoryDivisor, size)
}

// fitting returns how many things of a size fit into a part of the memory. One always
// does: a bound of none would stop the node.
func (s Resources) countFitting(usual int, part, size int64) int {
	if s.Memory <= 0 {
		return usual
	}
	return int(max(1, min(int64(usual), s.Memory/part/size)))
}

const (
	// httpDescriptorPercent is the part in percent of the sockets that callers of HTTP may hold;
	// the rest is for packets, peers and probes.
	httpDescriptorPercent = 75
	percent               = 100
)

// MaxConnections returns the number of connections that callers of HTTP may hold at once;
// 0 means any number.
func (s Resources) MaxConnections() int {
	if s.Descriptors <= 0 {
		return 0
	}
	return int(max(1, (s.Descriptors-ReservedDescriptors)*httpDescriptorPercent/percent))
}

// Parts in percent of the disk: it counts as filling from diskFullPercent on until less than
// diskRelievedPercent is held. A log that is rewritten falls to two thirds each time, which
// relieves no disk.
const (
	diskFullPercent     = 80
	diskRelievedPercent = 52
)

// IsDiskNearlyFull reports whether so many bytes nearly fill the disk, which they did before or
// not.
func (s Resources) IsDiskNearlyFull(held int64, before bool) bool {
	share := float64(diskFullPercent)
	if before {
		share = diskRelievedPercent
	}
	return s.Disk > 0 && float64(held) >= float64(s.Disk)*share/percent
}
