// Package speed estimates how long each target takes for requests, compared with the
// other targets of its service.
//
// A sample is the natural logarithm of the ratio of the time that a target took for a
// request to the usual time of the route at the same node. This makes samples of
// different routes and nodes comparable. Nodes, members and the leader
// each keep decaying sums of samples by target. The latest report of a source replaces
// its previous one and decays, so lost, late or duplicate reports have no lasting
// effect.
package speed

import (
	"math"
	"time"
)

const (
	// HalfLife is the time in which the weight of samples halves.
	HalfLife = 10 * time.Second
	// MemberHalfLife is the half-life of a member's reports at the leader. It is longer
	// than HalfLife because a member with many targets reports each of them only every
	// few minutes.
	MemberHalfLife = 2 * time.Minute
	// MaxSample limits samples to between a seventh and seven times the usual time, so
	// that a single lost or stalled request has a limited effect.
	MaxSample = 2.0
	// MinCount is the decayed number of samples below which sums are removed.
	MinCount = 0.1
)

// Sums holds decaying sums of the samples of a target.
type Sums struct {
	// Count is the decayed number of samples, Total their sum and Squares the sum of
	// their squares.
	Count, Total, Squares float64
}

// Add adds a sample.
func (s *Sums) Add(sample float64) {
	sample = min(max(sample, -MaxSample), MaxSample)
	s.Count++
	s.Total += sample
	s.Squares += sample * sample
}

// Plus returns the combined sums.
func (s Sums) Plus(other Sums) Sums {
	return Sums{Count: s.Count + other.Count, Total: s.Total + other.Total, Squares: s.Squares + other.Squares}
}

// Scaled returns the sums with the weight of all samples multiplied by factor.
func (s Sums) Scaled(factor float64) Sums {
	return Sums{Count: s.Count * factor, Total: s.Total * factor, Squares: s.Squares * factor}
}

// Decayed returns the sums after they have aged by the given time.
func (s Sums) Decayed(age, halfLife time.Duration) Sums {
	if age <= 0 {
		return s
	}
	return s.Scaled(math.Exp2(-float64(age) / float64(halfLife)))
}

// Capped returns the sums scaled down to a count of at most limit.
func (s Sums) Capped(limit float64) Sums {
	if s.Count <= limit {
		return s
	}
	return s.Scaled(limit / s.Count)
}

// Mean returns the mean of the samples, or 0 if there are none.
func (s Sums) Mean() float64 {
	if s.Count <= 0 {
		return 0
	}
	return s.Total / s.Count
}
