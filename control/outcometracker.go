package control

// outcomeTracker combines the replies to one request, which may be sent
// repeatedly and to several owners.
type outcomeTracker struct {
	// uncertain is set once an owner may have executed the request without
	// confirming it.
	uncertain bool
}

// add reports whether r is the outcome of the request. A refusal isn't once an
// earlier attempt may have been executed: that attempt could still arrive, and
// a job reported as refused would run.
func (t *outcomeTracker) add(r reply, mayHaveRun bool) bool {
	t.uncertain = t.uncertain || mayHaveRun
	switch r.Result {
	case ResultDone, ResultNotFound:
		return true
	case ResultRefused:
		return !t.uncertain
	default:
		return false
	}
}
