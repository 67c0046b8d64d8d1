package gate

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/batch"
	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/settings"
)

func TestEventVerdict(t *testing.T) {
	now := time.Date(2026, 6, 1, 5, 0, 0, 0, time.UTC)
	ahead, past := now.Add(time.Hour), now.Add(-time.Hour)
	for _, tt := range []struct {
		start time.Time
		work  batch.EventWork
		want  forecast.Verdict
	}{
		{ahead, batch.EventWork{}, forecast.WillMeet},
		{ahead, batch.EventWork{Jobs: 1, Cancelled: 1}, forecast.WillMeet},
		{ahead, batch.EventWork{Jobs: 3, Done: 2, Cancelled: 1}, forecast.Met},
		{ahead, batch.EventWork{Jobs: 2, Done: 1, Late: 1}, forecast.Missed},
		{ahead, batch.EventWork{Jobs: 2, Parked: 1, Verdict: forecast.WillMeet}, forecast.AtRisk},
		{ahead, batch.EventWork{Jobs: 2, Done: 1}, forecast.AtRisk},
		{ahead, batch.EventWork{Jobs: 2, Done: 1, Verdict: forecast.WillMeet}, forecast.WillMeet},
		{past, batch.EventWork{Jobs: 2, Done: 2}, forecast.Met},
		{past, batch.EventWork{Jobs: 2, Done: 1, Verdict: forecast.WillMeet}, forecast.Missed},
		{past, batch.EventWork{Jobs: 2, Done: 1, Parked: 1}, forecast.Missed},
	} {
		if got, reason := eventVerdict(now, tt.start, tt.work); got != tt.want {
			t.Errorf("%+v: %s (%s), want %s", tt.work, got, reason, tt.want)
		}
	}
}

func TestEventStatusesKeepPastStarts(t *testing.T) {
	now := time.Date(2026, 6, 1, 5, 0, 0, 0, time.UTC)
	past := batch.EventStart{Event: "rounds", UnixMS: now.Add(-time.Hour).UnixMilli()}
	work := map[batch.EventStart]batch.EventWork{
		past:                          {Jobs: 2, Done: 2},
		{Event: "unknown", UnixMS: 1}: {Jobs: 1},
	}
	list := eventStatuses(now, map[string]settings.Event{"rounds": {Start: "04:00", Location: "UTC"}}, work, nil)
	if len(list) != 2 || list[0].StartUnixMs != past.UnixMS || list[0].Forecast != "met" || list[1].Forecast != "will_meet" {
		t.Errorf("%d statuses, the first %+v; want 2, the past start first", len(list), list[0])
	}
}
