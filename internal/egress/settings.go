package egress

import "time"

const (
	// overdueAfter is the wait after which a packet may overtake more urgent ones,
	// within the limits of overdueDivisor: half the callers' retransmission timeout of
	// 200 ms.
	overdueAfter = 100 * time.Millisecond
	// overdueDivisor is the inverse of the share of the link reserved for overdue
	// packets. A packet waits at most overdueAfter plus overdueDivisor times the
	// transmission time of the bytes queued before it.
	overdueDivisor = 8
	// maxOverdueCredit caps the credit of overdue packets. A larger datagram is sent
	// once the cap is reached.
	maxOverdueCredit = quantum
	// bulkThreshold is the number of bytes up to which a flow counts as small: a
	// request of a few datagrams.
	bulkThreshold = 6000
	// windowBytes is the size on the link of a full window of one flow.
	windowBytes = 16 * 1268
	// defaultObjective orders flows whose route has no objective. They never count as
	// late.
	defaultObjective = time.Second
	// memoryDivisor is the inverse of the share of the process memory that the queue
	// may take.
	memoryDivisor = 32
	// defaultMemory is the memory in bytes that is assumed without a limit.
	defaultMemory = 256 << 20
	// bufferBytes is the buffer size of a queued packet.
	bufferBytes = 2048
	// controlDivisor is the inverse of the share of packets that may be in the control
	// queue, so that a flood of openings leaves room for open flows.
	controlDivisor = 4
	// minPackets is the smallest queue limit: two full windows.
	minPackets = 32
	// flowsPerPacket is the number of flow records per packet in the queue. Most flows
	// are idle.
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

// WithLink sets the link that determines the default rate.
func WithLink(link Link) Option { return func(s *settings) { s.link = link } }

// WithMemoryLimit sets the memory limit of the process in bytes, which determines the
// queue limit; 0 means not configured.
func WithMemoryLimit(bytes int64) Option {
	return func(s *settings) {
		if bytes > 0 {
			s.maxPackets = max(minPackets, int(bytes/memoryDivisor/bufferBytes))
		}
	}
}
