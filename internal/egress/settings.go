package egress

import "time"

const (
	// overdueAfter is the wait after which a packet is overdue and may overtake more
	// urgent ones, as far as overdueDivisor permits. It is half the callers'
	// retransmission timeout of 200 ms.
	overdueAfter = 100 * time.Millisecond
	// overdueDivisor is the inverse of the fraction of the link reserved for overdue
	// packets. A packet that is not dropped waits at most overdueAfter plus
	// overdueDivisor times the transmission time of a quantum and of the bytes queued up
	// to and including the packet.
	overdueDivisor = 8
	// maxOverdueCredit caps the overdue credit. A larger datagram is sent once the cap
	// is reached.
	maxOverdueCredit = quantum
	// bulkThreshold is the number of bytes up to which a flow counts as small: a
	// request of a few datagrams.
	bulkThreshold = 6000
	// windowBytes is the size on the link of a full window of one flow.
	windowBytes = 16 * 1268
	// defaultObjective determines the deadline of flows whose route has no objective.
	// They never count as late.
	defaultObjective = time.Second
	// memoryDivisor is the inverse of the fraction of the process memory that the queue
	// may use: 3.2 MB of 104 MB, which is 13 s of a link of 2 Mbit/s.
	memoryDivisor = 32
	// defaultMemory is the process memory in bytes that is assumed if no limit is
	// configured.
	defaultMemory = 256 << 20
	// bufferBytes is the size of the buffer that holds a queued packet.
	bufferBytes = 2048
	// controlDivisor is the inverse of the fraction of maxPackets that may be in the
	// control queue, so that a flood of openings leaves room for open flows.
	controlDivisor = 4
	// minPackets is the lower bound of maxPackets under a memory limit: two full
	// windows.
	minPackets = 32
	// flowsPerPacket is the ratio of maxFlows to maxPackets. It is above 1 because most
	// flows have no queued packets.
	flowsPerPacket = 4
)

// settings is the configuration of a scheduler.
type settings struct {
	link Link
	// maxPackets is the largest number of queued packets.
	maxPackets int
}

func defaultSettings() settings {
	return settings{maxPackets: defaultMemory / memoryDivisor / bufferBytes}
}

// maxBytes returns the largest number of queued bytes.
func (s settings) maxBytes() int { return s.maxPackets * bufferBytes }

// maxFlows returns the largest number of flow records.
func (s settings) maxFlows() int { return s.maxPackets * flowsPerPacket }

// Option configures a Scheduler.
type Option func(*settings)

// WithLink sets the link whose configured rate Scheduler.Rate returns by default, less
// what linkFraction reserves.
func WithLink(link Link) Option { return func(s *settings) { s.link = link } }

// WithMemoryLimit sets the memory limit of the process in bytes, which determines the
// largest number of queued packets; 0 means not configured.
func WithMemoryLimit(bytes int64) Option {
	return func(s *settings) {
		if bytes > 0 {
			s.maxPackets = max(minPackets, int(bytes/memoryDivisor/bufferBytes))
		}
	}
}
