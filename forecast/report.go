package forecast

import "time"

// Verdict tells whether the jobs due by an event will finish in time.
type Verdict string

// The possible verdicts.
const (
	WillMeet Verdict = "will_meet"
	AtRisk   Verdict = "at_risk"
	Met      Verdict = "met"
	Missed   Verdict = "missed"
)

// Report is the forecast for one event in one shard.
type Report struct {
	Event string
	// Start is the start of the occurrence.
	Start   time.Time
	Verdict Verdict
	// Reason explains the verdict to users.
	Reason string
	// Done, Running and Pending count the jobs due by the event.
	Done    int
	Running int
	Pending int
	// LatestStart is when the first pending job must start; zero if none is
	// pending.
	LatestStart time.Time
}

// severity orders verdicts from best to worst.
func (v Verdict) severity() int {
	switch v {
	case Met:
		return 0
	case WillMeet:
		return 1
	case AtRisk:
		return 2
	default:
		return 3
	}
}

// Merge combines the reports of two shards for the same event. The worse
// verdict is kept with its reason.
func (r Report) Merge(o Report) Report {
	merged := r
	if o.Verdict.severity() > r.Verdict.severity() {
		merged.Verdict, merged.Reason = o.Verdict, o.Reason
	}
	merged.Done += o.Done
	merged.Running += o.Running
	merged.Pending += o.Pending
	if r.LatestStart.IsZero() || (!o.LatestStart.IsZero() && o.LatestStart.Before(r.LatestStart)) {
		merged.LatestStart = o.LatestStart
	}
	return merged
}
