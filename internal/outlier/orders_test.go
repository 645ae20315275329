package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func (f *fleet) order(position int, rule directory.TargetRule, revision uint64) {
	f.targets[position].Order = directory.TargetOrder{Rule: rule, Revision: revision}
	f.step()
}

func TestOperatorEjectionLastsUntilRevoked(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.order(4, directory.RuleEjected, 1)
	f.run(3 * maxHold)
	assert.True(t, f.ejected[5])
	f.order(4, directory.RuleJudged, 2)
	assert.False(t, f.ejected[5] || f.onProbation[5])
	f.run(5 * time.Second)
	assert.Empty(t, f.changes)
}

// Orders may exceed the limit, but no further target is ejected then.
func TestOperatorEjectionsCountTowardsLimit(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	for position := range 5 {
		f.order(position, directory.RuleEjected, uint64(position+1))
	}
	f.failTarget(8)
	f.run(5 * time.Second)
	assert.Len(t, f.ejected, 5)
	assert.False(t, f.ejected[9])
}

func TestExemptTargetIsNotEjected(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.timeToEjection(t, 5)
	f.order(4, directory.RuleExempt, 1)
	assert.False(t, f.ejected[5] || f.onProbation[5])
	f.run(10 * time.Second)
	assert.False(t, f.ejected[5] || f.onProbation[5])
	f.order(4, directory.RuleJudged, 2)
	f.timeToEjection(t, 5)
}

func TestReadmitOrderIsAppliedOnce(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.failTarget(4)
	f.timeToEjection(t, 5)
	f.order(4, directory.RuleJudged, 7)
	assert.False(t, f.ejected[5] || f.onProbation[5])
	f.timeToEjection(t, 5)
	f.run(time.Second)
	assert.True(t, f.ejected[5], "the order was applied already")
}

// Orders that the previous leader applied are not applied again after a restore.
func TestNewLeaderDoesNotReapplyOrders(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.targets[4].Order = directory.TargetOrder{Rule: directory.RuleJudged, Revision: 7}
	f.detector.Restore(f.now, 9, []directory.Token{5}, nil)
	f.step()
	require.True(t, f.ejected[5])
	f.order(4, directory.RuleJudged, 10)
	assert.False(t, f.ejected[5])
}
