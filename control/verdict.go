package control

// verdict gathers what owners answered to one request of a caller, which may be
// handed to several of them, or to one several times.
type verdict struct {
	// open is set once an owner may have taken the request in.
	open bool
}

// take reports whether a reply is the request's outcome. Maybe tells that an
// owner may have taken it in without saying so. A refusal doesn't count after
// that: what was handed over before may still arrive, overtaken by what was
// handed over after it, and the job would run that its caller was told would
// never run.
func (v *verdict) take(r reply, maybe bool) bool {
	v.open = v.open || maybe
	switch r.Result {
	case ResultDone, ResultNotFound:
		return true
	case ResultRefused:
		return !v.open
	default:
		return false
	}
}
