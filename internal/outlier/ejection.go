package outlier

import (
	"cmp"
	"slices"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// accused is a target that is found ill.
type accused struct {
	target   Target
	kept     *record
	evidence float64
	shown    Count
}

// ejectWorst leaves out the targets that are found ill, the worst first, as long as
// the shares of the service and of its zones bear it. Only some of the targets are
// judged; all count.
func (j *Detector) ejectWorst(now kernel.Instant, targets, judged []Target, usual float64, decision *Decision) {
	out := 0
	zones, outOf := map[string]int{}, map[string]int{}
	for _, target := range targets {
		zones[target.Zone]++
		kept, exists := j.records[target.Token]
		if !exists {
			continue
		}
		if kept.stage != fair {
			out++
			outOf[target.Zone]++
		}
	}
	limit := len(targets) / ejectedShareDivisor
	if out >= limit {
		return
	}
	suspects := j.suspects(now, targets, judged, usual)
	slices.SortStableFunc(suspects, func(a, b accused) int { return cmp.Compare(b.evidence, a.evidence) })
	for _, suspect := range suspects {
		zone := suspect.target.Zone
		if out >= limit {
			return
		}
		if len(zones) > 1 && outOf[zone] >= max(1, zones[zone]/zoneShareDivisor) {
			continue
		}
		suspect.kept.shown = suspect.shown
		j.eject(now, suspect.target, suspect.kept, usual, decision)
		out++
		outOf[zone]++
	}
}

// suspects returns the judged targets that are ill by what is usual, and also by what
// the others showed in the same time. The latter is worked out only when there are any
// by the former.
func (j *Detector) suspects(now kernel.Instant, targets, judged []Target, usual float64) []accused {
	var suspects []accused
	var others *contemporaries
	for _, target := range judged {
		kept, exists := j.records[target.Token]
		if !exists || kept.stage != fair {
			continue
		}
		evidence, shown := kept.evidence(now, func(Count, int) float64 { return usual })
		if evidence < alarm {
			continue
		}
		if others == nil {
			others = j.contemporaries(now, targets)
		}
		if atOnset, _ := kept.evidence(now, others.expected(kept, usual)); atOnset >= onsetAlarm {
			suspects = append(suspects, accused{target: target, kept: kept, evidence: evidence, shown: shown})
		}
	}
	return suspects
}
