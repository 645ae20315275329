package outlier

import "math"

const (
	// probationError is the probability of a wrong verdict after a probation, either way:
	// of a target one failure where hardly any are usual, or seven answers without one.
	probationError = 0.03
	// returnError is the probability that one that fails as it had shown is readmitted.
	returnError = 1e-7
)

// probationBound is the log of the likelihood ratio that ends a probation, and returnBound
// that which readmits one of which is known how it fails.
var (
	probationBound = math.Log((1 - probationError) / probationError)
	returnBound    = math.Log((1 - returnError) / returnError)
)

// trial is what a target or a version shows on probation.
type trial struct {
	// count is what was seen since the probation began, and shown what it was found ill
	// by; nothing where that is not known.
	count, shown Count
	// share is the part of its work that an ill one fails at least.
	share float64
}

// isIll reports whether it fails its work on probation too.
func (t trial) isIll(usual float64) bool {
	return logRatio(t.count, usual, t.share) >= probationBound
}

// leansIll reports whether it is rather ill than well.
func (t trial) leansIll(usual float64) bool { return logRatio(t.count, usual, t.share) > 0 }

// isWell reports whether it serves again: one that failed half of its work answers seven
// times in a row once in 128, so what it had shown counts too.
func (t trial) isWell(usual float64) bool {
	if logRatio(t.count, usual, t.share) > -probationBound {
		return false
	}
	return t.shown.Exchanges == 0 || logRatio(t.count, usual, t.shown.expected()) <= -returnBound
}
