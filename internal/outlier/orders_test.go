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

func TestATargetIsKeptOutByHandForAsLongAsItIsOrdered(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.order(4, directory.RuleEjected, 1)
	f.run(3 * longestHold)
	assert.True(t, f.out[5])
	f.order(4, directory.RuleJudged, 2)
	assert.False(t, f.out[5] || f.tried[5])
	f.run(5 * time.Second)
	assert.Empty(t, f.changes)
}

// No share bounds what is ordered, but what is judged beside it.
func TestWhatIsKeptOutByHandCountsAmongThoseLeftOut(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	for position := range 5 {
		f.order(position, directory.RuleEjected, uint64(position+1))
	}
	f.ill(8)
	f.run(5 * time.Second)
	assert.Len(t, f.out, 5)
	assert.False(t, f.out[9])
}

func TestAnExemptTargetIsNeverLeftOut(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
	f.timeTo(t, 5)
	f.order(4, directory.RuleExempt, 1)
	assert.False(t, f.out[5] || f.tried[5])
	f.run(10 * time.Second)
	assert.False(t, f.out[5] || f.tried[5])
	f.order(4, directory.RuleJudged, 2)
	f.timeTo(t, 5)
}

func TestATargetIsReadmittedByHandOnce(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.run(5 * time.Second)
	f.ill(4)
	f.timeTo(t, 5)
	f.order(4, directory.RuleJudged, 7)
	assert.False(t, f.out[5] || f.tried[5])
	f.timeTo(t, 5)
	f.run(time.Second)
	assert.True(t, f.out[5], "the order was obeyed already")
}

// A new leader does not obey again what the old one has obeyed.
func TestOrdersOfBeforeAreNotObeyedAgain(t *testing.T) {
	f := newFleet(1, 12, 80)
	f.targets[4].Order = directory.TargetOrder{Rule: directory.RuleJudged, Revision: 7}
	f.judge.Restore(f.now, 9, []directory.Token{5}, nil)
	f.step()
	require.True(t, f.out[5])
	f.order(4, directory.RuleJudged, 10)
	assert.False(t, f.out[5])
}
