package room

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const start = kernel.Instant(time.Minute)

func drawReport(t *rapid.T) LinkReport {
	return LinkReport{
		Rate: rapid.Uint32().Draw(t, "rate"), InPercent: rapid.Uint8().Draw(t, "in"), OutPercent: rapid.Uint8().Draw(t, "out"),
		WaitStep: rapid.Uint8().Draw(t, "wait"), Refusing: rapid.Bool().Draw(t, "refusing"),
	}
}

func summaryOf(zone string, reports ...LinkReport) ZoneSummary {
	sum := ZoneSummary{Zone: zone}
	for _, report := range reports {
		sum.addReport(report)
	}
	return sum
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		zones := []ZoneSummary{summaryOf("north", report, drawReport(t)), summaryOf("south", report)}
		for _, message := range []Message{{Report: &report}, {Member: "10.0.0.1:7000", Zones: zones}, {Term: 7, Zones: zones}} {
			read, err := Decode(message.Frame().Payload)
			require.NoError(t, err)
			require.Equal(t, message, read)
		}
	})
}

func TestDecodeRejectsMalformedAndIgnoresUnknownKinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		message, err := Decode(payload)
		if err == nil && payload[0] > byte(kindFleet) {
			require.Equal(t, Message{}, message)
		}
	})
	whole := Message{Term: 1, Zones: []ZoneSummary{summaryOf("north", LinkReport{Rate: 1})}}.Frame().Payload
	_, err := Decode(whole[:len(whole)-1])
	assert.Error(t, err)
}

func TestMessageSizes(t *testing.T) {
	assert.LessOrEqual(t, wire.FrameSize(Message{Report: &LinkReport{}}.Frame()), 16)
	assert.LessOrEqual(t, wire.FrameSize(Message{Zones: []ZoneSummary{{Zone: "lv-riga-a"}}}.Frame()), 100)
}

func TestWaitSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(0, int64(StepToWait(WaitSteps-1))).Draw(t, "wait"))
		reported := StepToWait(WaitToStep(wait))
		require.GreaterOrEqual(t, reported, wait)
		require.True(t, reported == minWait || reported < 2*wait)
	})
	assert.Equal(t, uint8(WaitSteps-1), WaitToStep(time.Hour))
}

// Of a node's reports only the latest counts, until it expires.
func TestNewestReportCountsUntilItExpires(t *testing.T) {
	table := NewTable[int]()
	table.RecordReport(start, 1, "north", LinkReport{Rate: 100, InPercent: 90})
	table.RecordReport(start, 1, "north", LinkReport{Rate: 100, InPercent: 10, OutPercent: 20})
	table.RecordReport(start.Add(time.Second), 2, "north", LinkReport{Rate: 300, OutPercent: 50, Refusing: true})
	summaries := table.Summaries(start.Add(time.Second))
	require.Len(t, summaries, 1)
	assert.Equal(t, 2, summaries[0].Nodes())
	assert.Equal(t, uint64(400), summaries[0].Rate)
	assert.Equal(t, uint64(20+150), summaries[0].UsedRate)
	assert.Equal(t, uint32(1), summaries[0].RefusingNodes)
	assert.Equal(t, 1, table.Summaries(start.Add(ReportLifetime))[0].Nodes())
	table.Remove(2)
	assert.Empty(t, table.Summaries(start.Add(ReportLifetime)))
}

func TestZoneViewExpiresAndIgnoresOlderTerms(t *testing.T) {
	idle, full := LinkReport{}, LinkReport{WaitStep: WaitSteps - 1}
	var view ZoneView
	assert.False(t, view.IsCurrent(start))
	view.Update(start, "north", Message{Term: 3, Zones: []ZoneSummary{summaryOf("south", idle, idle), summaryOf("north", full, full)}})
	assert.True(t, view.IsCurrent(start))
	assert.Equal(t, StepToWait(WaitSteps-1), view.RetryWait())
	view.Update(start.Add(time.Second), "north", Message{Term: 2, Zones: []ZoneSummary{summaryOf("north", idle, idle)}})
	assert.Equal(t, StepToWait(WaitSteps-1), view.RetryWait(), "older term")
	assert.False(t, view.IsCurrent(start.Add(ReportLifetime)), "expired")
	view.Update(start.Add(ReportLifetime), "north", Message{Term: 2, Zones: []ZoneSummary{summaryOf("north", idle, idle)}})
	assert.Equal(t, minWait, view.RetryWait())
}

func TestZoneViewOfSingleNodeIsNotCurrent(t *testing.T) {
	var view ZoneView
	view.Update(start, "north", Message{Zones: []ZoneSummary{summaryOf("north", LinkReport{})}})
	assert.False(t, view.IsCurrent(start))
}

// In a zone with enough nodes, one false report must not change the retry wait.
func TestOneFalseReportDoesNotChangeRetryWait(t *testing.T) {
	reports := make([]LinkReport, 2*retryNodeDivisor)
	for number := range reports {
		reports[number].WaitStep = 6
	}
	reports[0].WaitStep = 0
	var view ZoneView
	view.Update(start, "north", Message{Zones: []ZoneSummary{summaryOf("north", reports...)}})
	assert.Equal(t, StepToWait(6), view.RetryWait())
}
