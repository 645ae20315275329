// Package speed learns how long targets take compared with the others of their service.
//
// A sample is the natural logarithm of the time that a target took for a request, less
// the usual one of its route at the same node, so that routes of different work and
// nodes on different ways compare. Nodes, members and the leader each keep decayed sums
// of samples by target. The newest word of a source replaces its last one and fades, so
// that words that are lost, late or doubled change nothing for long.
package speed

import (
	"math"
	"time"
)

const (
	// HalfLife is the time after which a sample counts half.
	HalfLife = 10 * time.Second
	// MemberHalfLife is the time after which a member's word counts half at the leader:
	// where there are many targets a member tells of each of them once in minutes.
	MemberHalfLife = 2 * time.Minute
	// MaxSample bounds a sample to either side: a time of a seventh or seven times the
	// usual one. One request that rested or was lost says no more than that.
	MaxSample = 2.0
	// MinCount is the decayed number of samples below which sums are forgotten.
	MinCount = 0.1
)

// Sums are the samples of a target, older ones counting less.
type Sums struct {
	// Count is the decayed number of samples, Total their sum and Squares that of their
	// squares.
	Count, Total, Squares float64
}

// Add adds a sample.
func (s *Sums) Add(sample float64) {
	sample = min(max(sample, -MaxSample), MaxSample)
	s.Count++
	s.Total += sample
	s.Squares += sample * sample
}

// Plus returns the sums of both.
func (s Sums) Plus(other Sums) Sums {
	return Sums{Count: s.Count + other.Count, Total: s.Total + other.Total, Squares: s.Squares + other.Squares}
}

// Scaled returns the sums with all samples counting as many times as much.
func (s Sums) Scaled(factor float64) Sums {
	return Sums{Count: s.Count * factor, Total: s.Total * factor, Squares: s.Squares * factor}
}

// Decayed returns what the sums count after some time.
func (s Sums) Decayed(age, halfLife time.Duration) Sums {
	if age <= 0 {
		return s
	}
	return s.Scaled(math.Exp2(-float64(age) / float64(halfLife)))
}

// Capped returns the sums with a count of no more than a limit.
func (s Sums) Capped(limit float64) Sums {
	if s.Count <= limit {
		return s
	}
	return s.Scaled(limit / s.Count)
}

// Mean returns the mean of the samples, or 0 without any.
func (s Sums) Mean() float64 {
	if s.Count <= 0 {
		return 0
	}
	return s.Total / s.Count
}
