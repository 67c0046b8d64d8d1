package control

import "testing"

// TestOutcomeTracker checks that a request is refused only if no owner can have
// executed it.
func TestOutcomeTracker(t *testing.T) {
	type step struct {
		result     Result
		mayHaveRun bool
	}
	unknown, notOwner := step{ResultUnknown, true}, step{ResultNotOwner, false}
	for _, c := range []struct {
		name  string
		steps []step
		// final is set if the last reply is the outcome, uncertain if an owner may
		// have executed the request.
		final, uncertain bool
	}{
		{"done", []step{{ResultDone, false}}, true, false},
		{"no such job", []step{{ResultNotFound, false}}, true, false},
		{"refused", []step{{ResultRefused, false}}, true, false},
		{"not the owner, then refused", []step{notOwner, {ResultRefused, false}}, true, false},
		{"no answer", []step{unknown}, false, true},
		{"not the owner", []step{notOwner}, false, false},
		{"no answer, then refused", []step{unknown, {ResultRefused, false}}, false, true},
		{"no answer, not the owner, then refused", []step{unknown, notOwner, {ResultRefused, false}}, false, true},
		{"no answer, then done", []step{unknown, {ResultDone, false}}, true, true},
	} {
		var tracker outcomeTracker
		final := false
		for _, s := range c.steps {
			final = tracker.add(reply{Result: s.result}, s.mayHaveRun)
		}
		if final != c.final || tracker.uncertain != c.uncertain {
			t.Errorf("%s: final %v, uncertain %v; want %v, %v", c.name, final, tracker.uncertain, c.final, c.uncertain)
		}
	}
}
