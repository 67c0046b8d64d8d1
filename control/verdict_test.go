package control

import "testing"

// TestVerdict tells callers "refused" only where no owner can have the request.
func TestVerdict(t *testing.T) {
	type step struct {
		result Result
		maybe  bool
	}
	unknown, elsewhere := step{ResultUnknown, true}, step{ResultNotOwner, false}
	for _, c := range []struct {
		name  string
		steps []step
		// settled is whether the last step is the outcome, open whether an
		// owner may have the request.
		settled, open bool
	}{
		{"done", []step{{ResultDone, false}}, true, false},
		{"no such job", []step{{ResultNotFound, false}}, true, false},
		{"refused", []step{{ResultRefused, false}}, true, false},
		{"not the owner, then refused", []step{elsewhere, {ResultRefused, false}}, true, false},
		{"no answer", []step{unknown}, false, true},
		{"not the owner", []step{elsewhere}, false, false},
		{"no answer, then refused", []step{unknown, {ResultRefused, false}}, false, true},
		{"no answer, not the owner, then refused", []step{unknown, elsewhere, {ResultRefused, false}}, false, true},
		{"no answer, then done", []step{unknown, {ResultDone, false}}, true, true},
	} {
		var v verdict
		settled := false
		for _, s := range c.steps {
			settled = v.take(reply{Result: s.result}, s.maybe)
		}
		if settled != c.settled || v.open != c.open {
			t.Errorf("%s: settled %v, open %v; want %v, %v", c.name, settled, v.open, c.settled, c.open)
		}
	}
}
