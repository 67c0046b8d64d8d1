package forecast

import (
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

func dailyEvent(t *testing.T) Event {
	t.Helper()
	c, err := NewCalendar(map[string]settings.Event{
		"rounds": {
			Start: "07:30", Location: "Europe/Rome", Headroom: 0.3,
			Before: settings.Duration(30 * time.Minute), After: settings.Duration(time.Hour),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c[0]
}

func parseTime(t *testing.T, text string) time.Time {
	t.Helper()
	when, err := time.Parse(time.RFC3339, text)
	if err != nil {
		t.Fatal(err)
	}
	return when
}

func TestDailyWindow(t *testing.T) {
	tests := []struct{ name, now, start string }{
		{"earlier that day", "2026-06-01T03:00:00Z", "2026-06-01T05:30:00Z"},
		{"within the window", "2026-06-01T06:00:00Z", "2026-06-01T05:30:00Z"},
		{"after the window", "2026-06-01T06:30:00Z", "2026-06-02T05:30:00Z"},
		{"across the end of summer time", "2026-10-24T12:00:00Z", "2026-10-25T06:30:00Z"},
	}
	e := dailyEvent(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, ok := e.Window(parseTime(t, tt.now))
			if want := parseTime(t, tt.start); !ok || !w.Start.Equal(want) {
				t.Errorf("start %s, want %s", w.Start.UTC(), want)
			}
			if w.Start.Sub(w.From) != 30*time.Minute || w.Until.Sub(w.Start) != time.Hour {
				t.Errorf("window %v", w)
			}
		})
	}
}

func TestNextStart(t *testing.T) {
	e := dailyEvent(t)
	tests := map[string]string{
		"2026-06-01T05:29:59Z": "2026-06-01T05:30:00Z",
		"2026-06-01T05:30:00Z": "2026-06-02T05:30:00Z",
		"2026-06-01T22:30:00Z": "2026-06-02T05:30:00Z",
	}
	for after, want := range tests {
		if got, ok := e.Next(parseTime(t, after)); !ok || !got.Equal(parseTime(t, want)) {
			t.Errorf("next after %s is %s, want %s", after, got.UTC(), want)
		}
	}
}

func TestWindowAcrossMidnight(t *testing.T) {
	e, err := newEvent("late", settings.Event{Start: "23:30", After: settings.Duration(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	w, _ := e.Window(parseTime(t, "2026-06-02T00:15:00Z"))
	if want := parseTime(t, "2026-06-01T23:30:00Z"); !w.Start.Equal(want) {
		t.Errorf("start %s, want %s", w.Start, want)
	}
}

func TestOneTimeEventEnds(t *testing.T) {
	e, err := newEvent("fair", settings.Event{Start: "2026-06-01T08:00:00Z", After: settings.Duration(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := e.Window(parseTime(t, "2026-06-01T08:59:00Z")); !ok {
		t.Error("no window one minute before the end")
	}
	if _, ok := e.Window(parseTime(t, "2026-06-01T09:00:00Z")); ok {
		t.Error("window returned at its end")
	}
}

func TestInvalidEventIsReported(t *testing.T) {
	c, err := NewCalendar(map[string]settings.Event{"bad": {Start: "at dawn"}, "good": {Start: "06:00"}})
	if len(c) != 1 || err == nil || !strings.Contains(err.Error(), "bad") {
		t.Errorf("calendar %v, error %v", c, err)
	}
}

func TestAssess(t *testing.T) {
	now := parseTime(t, "2026-06-01T05:00:00Z")
	due := now.Add(30 * time.Minute)
	job := func(running bool, remaining time.Duration, cores int64, blocked string) Job {
		return Job{ID: "j", Running: running, Remaining: remaining, Due: due, MilliCPU: cores * 1000, BlockedReason: blocked}
	}
	tests := []struct {
		name    string
		now     time.Time
		jobs    []Job
		supply  Supply
		verdict Verdict
		reason  string
	}{
		{"nothing due", now, nil, Supply{}, WillMeet, "no work"},
		{"all done", now, nil, Supply{Done: 3}, Met, "all work"},
		{"done late", now, nil, Supply{Done: 3, Late: 1}, Missed, "1 jobs"},
		{"in time", now, []Job{job(true, 20*time.Minute, 4, "")}, Supply{}, WillMeet, "1 jobs left"},
		{"run takes too long", now, []Job{job(true, 40*time.Minute, 4, "")}, Supply{}, AtRisk, "needs 40m0s"},
		{"blocked for long", now, []Job{job(false, 20*time.Minute, 4, "no host fits")}, Supply{FreeMilliCPU: 9000}, AtRisk, "no host fits"},
		{"blocked with time left", now, []Job{job(false, 5*time.Minute, 4, "no host fits")}, Supply{FreeMilliCPU: 9000}, WillMeet, ""},
		{"too little capacity for all jobs", now, []Job{job(false, 20*time.Minute, 4, ""), job(false, 20*time.Minute, 4, "")}, Supply{FreeMilliCPU: 4000}, AtRisk, "core hours"},
		{"past due", due.Add(time.Minute), []Job{job(true, time.Minute, 4, "")}, Supply{}, Missed, "was due 1m0s ago"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Assess("rounds", due, tt.now, tt.jobs, tt.supply)
			if r.Verdict != tt.verdict || !strings.Contains(r.Reason, tt.reason) {
				t.Errorf("%s: %s", r.Verdict, r.Reason)
			}
		})
	}
}

func TestMergeKeepsWorseVerdict(t *testing.T) {
	good := Report{Verdict: Met, Reason: "all work is done", Done: 2}
	bad := Report{Verdict: AtRisk, Reason: "late", Pending: 1, LatestStart: time.Unix(9, 0)}
	for _, r := range []Report{good.Merge(bad), bad.Merge(good)} {
		if r.Verdict != AtRisk || r.Reason != "late" || r.Done != 2 || r.LatestStart != time.Unix(9, 0) {
			t.Errorf("merged to %+v", r)
		}
	}
}
