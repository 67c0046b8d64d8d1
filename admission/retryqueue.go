package admission

import "time"

// RetryQueue is the virtual queue of refused callers. Each is assigned a slot as long as
// its job takes at the rate at which the backlog drains, and returns at the slot's
// beginning, so that callers refused later return later. The zero value is empty. Slots
// that have passed have no effect.
type RetryQueue struct {
	// end is the end of the last slot.
	end time.Time
}

// Assign returns the retry delay of a caller that was refused with decision d under load l,
// from the decision's own delay to MaxRetryAfter.
func (q *RetryQueue) Assign(now time.Time, d Decision, l Load, j Job) time.Duration {
	begin := now.Add(d.RetryAfter)
	if q.end.After(begin) {
		begin = q.end
	}
	if last := now.Add(MaxRetryAfter); begin.After(last) {
		begin = last
	}
	q.end = begin.Add(l.drainTime(j.Work))
	return begin.Sub(now)
}
