package outlier

import "math"

const (
	// probationError is the error probability of a probation's result in either
	// direction.
	probationError = 0.03
	// readmissionError is the probability of readmitting a target that fails as often as
	// before its ejection.
	readmissionError = 1e-7
)

// probationBound is the log-likelihood ratio that decides a probation. readmissionBound
// is the additional bound for a target whose failure rate before its ejection is known.
var (
	probationBound   = math.Log((1 - probationError) / probationError)
	readmissionBound = math.Log((1 - readmissionError) / readmissionError)
)

// probation holds the results of a target or a version on probation.
type probation struct {
	// count covers the exchanges since the probation began. ejectionCount is the count
	// for which it was ejected, or zero if unknown.
	count, ejectionCount Count
	// excess is the failure rate above the baseline assumed for a failing target or
	// version.
	excess float64
}

// stillFails reports whether failure has been established.
func (p probation) stillFails(baseline float64) bool {
	return logLikelihoodRatio(p.count, baseline, p.excess) >= probationBound
}

// likelyFails reports whether failure is more likely than health.
func (p probation) likelyFails(baseline float64) bool {
	return logLikelihoodRatio(p.count, baseline, p.excess) > 0
}

// hasRecovered reports whether recovery has been established. The count before the
// ejection is considered too: a target that fails half of its requests may well answer
// several in a row.
func (p probation) hasRecovered(baseline float64) bool {
	if logLikelihoodRatio(p.count, baseline, p.excess) > -probationBound {
		return false
	}
	return p.ejectionCount.Exchanges == 0 || logLikelihoodRatio(p.count, baseline, p.ejectionCount.smoothedRate()) <= -readmissionBound
}
