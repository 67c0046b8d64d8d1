package admission

import "time"

// Verdict is what becomes of a submitted job.
type Verdict uint8

// The verdicts.
const (
	// Accept: the job is expected to be on time, or nothing is known that says otherwise.
	Accept Verdict = iota
	// AcceptLate: the job is expected to end after its objective, which still has some
	// value to its caller.
	AcceptLate
	// Refuse: the job is expected to end after it has expired.
	Refuse
)

// String returns the verdict as it appears in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Accept:
		return "accept"
	case AcceptLate:
		return "accept_late"
	case Refuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// Decision is the outcome of an admission.
type Decision struct {
	Verdict Verdict
	// Wait is how long the job is expected to wait for capacity, 0 if that isn't known.
	Wait time.Duration
	// RetryAfter is the time after which a refused caller should submit the job again.
	RetryAfter time.Duration
}

// MinRetryAfter and MaxRetryAfter bound retry delays. Retry-After has whole seconds, and
// few callers have more than some seconds left.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 8 * time.Second
)

// Decide decides on a new job. It accepts all jobs unless the pool is full and the rate is
// known. A job that would end on time after the work that comes before it is accepted. A
// job that would be late comes after all other work, and is refused if it would then end
// after its expiry. RetryAfter is the time until the backlog has drained so far that a
// newly submitted job would be useful; RetryQueue spreads the callers refused together.
func Decide(now time.Time, l Load, j Job) Decision {
	if !l.Known() {
		return Decision{}
	}
	if wait := l.OnTimeWait(); !now.Add(wait + j.CriticalPath).After(j.Objective) {
		return Decision{Wait: wait}
	}
	d := Decision{Verdict: AcceptLate, Wait: l.Wait()}
	if now.Add(d.Wait + j.CriticalPath).After(j.Expiry) {
		useful := j.Expiry.Sub(j.Submitted) - j.CriticalPath // longest useful wait of a new job
		d.Verdict = Refuse
		d.RetryAfter = min(max(d.Wait-useful, MinRetryAfter), MaxRetryAfter)
	}
	return d
}
