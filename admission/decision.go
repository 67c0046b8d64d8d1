package admission

import "time"

// Verdict is what becomes of a submitted job.
type Verdict uint8

// The verdicts.
const (
	// Accept: the job is expected to be on time, or there is nothing to expect.
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

// MinRetryAfter and MaxRetryAfter bound retry delays. Callers wait whole seconds, and
// hardly any has more than some seconds left.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 8 * time.Second
)

// Decide decides on a new job. A job that ends on time after the work which comes before
// it is accepted. One that would be late comes after all other work; it is refused if it
// would then end after it has expired, and only if the pool is full and the rate is known.
// RetryAfter is then the time in which the backlog drains so far that a job submitted
// anew would be useful; RetryQueue keeps callers apart that would return together.
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
