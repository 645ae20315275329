package egress

import "time"

const (
	// overdueAfter is the wait after which something goes before what is more urgent,
	// as far as overdueDivisor allows: half the 200 ms after which callers send data
	// again.
	overdueAfter = 100 * time.Millisecond
	// overdueDivisor is the part of the link, one in so many bytes, that what is overdue
	// gets at least. Nothing waits longer than overdueAfter and the time in which the
	// link carries so many times the bytes that waited before it.
	overdueDivisor = 8
	// maxOverdueCredit lets one largest datagram go first.
	maxOverdueCredit = quantum
	// bulkThreshold is the number of bytes up to which a flow has sent little: a request
	// of some datagrams. A window of bulk is 16 of them.
	bulkThreshold = 6000
	// windowBytes are those of a window of bulk: what one flow sends at once.
	windowBytes = 16 * 1268
	// defaultObjective orders flows whose route states no objective among others; they
	// never count as late.
	defaultObjective = time.Second
	// memoryDivisor is the part of a process's memory, one in so many bytes, that may
	// wait: 3.2 MB of 104 MB, 13 s of a link of 2 Mbit/s.
	memoryDivisor = 32
	// defaultMemory is the memory in bytes where no limit is stated.
	defaultMemory = 256 << 20
	// bufferBytes is what a waiting packet holds at most.
	bufferBytes = 2048
	// controlDivisor is the part of the packets, one in so many, that may go before all
	// flows: a flood of openings leaves room for the flows that are open.
	controlDivisor = 4
	// minPackets is the least bound: two windows of bulk.
	minPackets = 32
	// flowsPerPacket bounds the flows that are remembered, most of which rest.
	flowsPerPacket = 4
)

// settings are the fixed settings of a scheduler.
type settings struct {
	link Link
	// maxPackets is the number of packets that may wait.
	maxPackets int
}

func defaultSettings() settings {
	return settings{maxPackets: defaultMemory / memoryDivisor / bufferBytes}
}

// maxBytes is the number of bytes that may wait.
func (s settings) maxBytes() int { return s.maxPackets * bufferBytes }

// maxFlows is the number of flows that are remembered.
func (s settings) maxFlows() int { return s.maxPackets * flowsPerPacket }

// Option sets one setting of a scheduler.
type Option func(*settings)

// WithLink sets the link whose share the default rate is.
func WithLink(link Link) Option { return func(s *settings) { s.link = link } }

// WithMemoryLimit sets the memory limit of the process in bytes, of which the queue takes a
// fixed part; 0 states none.
func WithMemoryLimit(bytes int64) Option {
	return func(s *settings) {
		if bytes > 0 {
			s.maxPackets = max(minPackets, int(bytes/memoryDivisor/bufferBytes))
		}
	}
}
