package strength

// Inverses of the fractions of the process memory that bounded tables may use.
const (
	// flowMemoryDivisor is for the flow table of a node.
	flowMemoryDivisor = 4
	// queueMemoryDivisor is for the packets that a node queues until it is ready.
	queueMemoryDivisor = 32
)

// MaxFlows returns the number of flows of the given size in bytes that a node keeps, at
// most limit.
func (r Resources) MaxFlows(limit int, size int64) int {
	return r.countFitting(limit, flowMemoryDivisor, size)
}

// MaxQueuedPackets returns the number of packets of the given size in bytes that a node
// queues until it is ready, at most limit.
func (r Resources) MaxQueuedPackets(limit int, size int64) int {
	return r.countFitting(limit, queueMemoryDivisor, size)
}

// countFitting returns how many entries of a size fit into the memory divided by
// divisor, at most limit. It is at least one, since zero would stop the node.
func (r Resources) countFitting(limit int, divisor, size int64) int {
	if r.Memory <= 0 {
		return limit
	}
	return int(max(1, min(int64(limit), r.Memory/divisor/size)))
}

const (
	// httpDescriptorPercent is the share of the sockets available to HTTP callers; the
	// rest is for packets, peers and probes.
	httpDescriptorPercent = 75
	percent               = 100
)

// MaxConnections returns the largest number of concurrent HTTP connections; 0 means
// unlimited.
func (r Resources) MaxConnections() int {
	if r.Descriptors <= 0 {
		return 0
	}
	return int(max(1, (r.Descriptors-ReservedDescriptors)*httpDescriptorPercent/percent))
}

// The disk counts as nearly full from diskFullPercent of its size in use, until less
// than diskRelievedPercent is used. Rewriting a log leaves two thirds of its size, which
// alone must not end the state.
const (
	diskFullPercent     = 80
	diskRelievedPercent = 52
)

// IsDiskNearlyFull reports whether the used bytes nearly fill the disk; wasFull is the
// previous result.
func (r Resources) IsDiskNearlyFull(used int64, wasFull bool) bool {
	share := float64(diskFullPercent)
	if wasFull {
		share = diskRelievedPercent
	}
	return r.Disk > 0 && float64(used) >= float64(r.Disk)*share/percent
}
