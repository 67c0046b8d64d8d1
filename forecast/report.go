package forecast

import "time"

// Verdict says whether the work due by an event will be done.
type Verdict string

// The verdicts.
const (
	WillMeet Verdict = "will_meet"
	AtRisk   Verdict = "at_risk"
	Met      Verdict = "met"
	Missed   Verdict = "missed"
)

// Report is what is foreseen of one event in one shard.
type Report struct {
	Event string
	// Start is the start that the report is on.
	Start   time.Time
	Verdict Verdict
	// Reason says why, for people.
	Reason string
	// Done, Running and Pending count the jobs due by the event.
	Done    int
	Running int
	Pending int
	// LatestStart is when the first of the pending jobs must start; zero if
	// none is pending.
	LatestStart time.Time
}

// severity orders verdicts from the best to the worst.
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

// Merge joins the reports of two shards on the same event: the worse verdict
// with its reason.
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
