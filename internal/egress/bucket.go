package egress

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// linkFraction is the part of the stated rate that is used: the link also carries
	// the node's calls to control members.
	linkFraction = 0.95
	// minBurst is the number of bytes that leave at once: two full datagrams and some
	// small ones. It is about what the outgoing link of a small machine holds: beyond it
	// the link drops.
	minBurst = 3000
	// burstSeconds is the time whose bytes leave at once on a fast link: a timer is not
	// finer.
	burstSeconds = 0.001
	// wakeFraction is the part of the burst that the bucket holds before bulk is sent: two
	// full datagrams a wake-up at the least burst. The rest is for timers that come late,
	// 2 ms at 2 Mbit/s.
	wakeFraction = 0.85
)

// bucket is a token bucket over the link's rate.
type tokenBucket struct {
	tokens   float64
	filledAt kernel.Instant
	// rate is the rate in bytes a second of the last look; 0 bounds nothing.
	rate float64
}

// burst returns the largest number of tokens.
func (b *tokenBucket) burst() float64 { return max(minBurst, b.rate*burstSeconds) }

// wakeBytes returns what the bucket holds before bulk is sent.
func (b *tokenBucket) wakeBytes() int { return int(wakeFraction * b.burst()) }

// fill adds the tokens of the time since the last look. What a late look would add
// beyond the burst is lost.
func (b *tokenBucket) refill(now kernel.Instant, rate float64) {
	b.rate = rate
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	b.tokens = min(b.burst(), b.tokens+rate*float64(elapsed)*1e-9)
}

// has reports whether so many bytes can leave.
func (b *tokenBucket) has(bytes int) bool {
	return b.rate <= 0 || b.tokens >= min(float64(bytes), b.burst())
}

func (b *tokenBucket) consume(bytes int) { b.tokens -= float64(bytes) }

// until returns the time until so many bytes can leave.
func (b *tokenBucket) timeUntil(bytes int) time.Duration {
	if b.has(bytes) {
		return 0
	}
	missing := min(float64(bytes), b.burst()) - b.tokens
	// One nanosecond more, so that rounding down leaves nothing missing.
	return time.Duration(missing/b.rate*float64(time.Second)) + 1
}
