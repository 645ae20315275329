package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// linkFraction is the fraction of the configured rate used for traffic. The rest is
	// left for the node's connections to control members.
	linkFraction = 0.95
	// minBurst is the burst size in bytes on slow links: two full datagrams and some
	// small ones, which the send queue of a slow link holds without drops.
	minBurst = 3000
	// burstSeconds is the transmission time of the burst on fast links, about the
	// resolution of a timer.
	burstSeconds = 0.001
	// wakeFraction is the fraction of the burst at which the sender wakes for bulk
	// data: two full datagrams at minBurst. The rest keeps tokens from being lost when a
	// timer is late, by up to 2 ms at 2 Mbit/s.
	wakeFraction = 0.85
)

// tokenBucket is a token bucket that is refilled at the link's rate.
type tokenBucket struct {
	tokens   float64
	filledAt kernel.Instant
	// rate is the refill rate in bytes per second at the last refill; 0 means
	// unlimited.
	rate float64
}

// burst returns the capacity of the bucket in bytes.
func (b *tokenBucket) burst() float64 { return max(minBurst, b.rate*burstSeconds) }

// wakeBytes returns the tokens for which the sender waits before it sends bulk data.
func (b *tokenBucket) wakeBytes() int { return int(wakeFraction * b.burst()) }

// refill adds the tokens earned since the last refill, up to the burst size.
func (b *tokenBucket) refill(now kernel.Instant, rate float64) {
	b.rate = rate
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	b.tokens = min(b.burst(), b.tokens+rate*float64(elapsed)*1e-9)
}

// has reports whether the number of bytes can be sent now. A datagram larger than the
// burst can be sent once the bucket is full.
func (b *tokenBucket) has(bytes int) bool {
	return b.rate <= 0 || b.tokens >= min(float64(bytes), b.burst())
}

func (b *tokenBucket) consume(bytes int) { b.tokens -= float64(bytes) }

// timeUntil returns the time until the number of bytes can be sent.
func (b *tokenBucket) timeUntil(bytes int) time.Duration {
	if b.has(bytes) {
		return 0
	}
	missing := min(float64(bytes), b.burst()) - b.tokens
	// Add a nanosecond to compensate for rounding down.
	return time.Duration(missing/b.rate*float64(time.Second)) + 1
}
