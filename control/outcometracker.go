package control

// outcomeTracker combines the replies to one request, which may be sent
// repeatedly and to several owners.
type outcomeTracker struct {
	// uncertain is set once an owner may have executed the request without
	// confirming it.
	uncertain bool
}

// add records the reply to one attempt and reports whether it is the outcome of
// the request. mayHaveRun says that the owner may have executed this attempt
// without confirming it. From then on a refusal isn't the outcome, since the
// attempt could still arrive and run a job that was reported as refused.
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
