package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestLateBookingIsNotRun has the claim of a booking take most of its time. A booking
// that would probably end after its deadline must be refused as not run and not be
// started; one with enough time must be answered.
func TestLateBookingIsNotRun(t *testing.T) {
	const timeout = 2 * time.Second
	for _, tc := range []struct {
		name        string
		work, claim time.Duration
		want        outcome.Kind
	}{
		{"ClaimedInTime", 100 * time.Millisecond, timeout - 500*time.Millisecond, outcome.Answered},
		{"ClaimedLate", 100 * time.Millisecond, timeout - 90*time.Millisecond, outcome.NotRun},
		{"LongWork", 1200 * time.Millisecond, 20 * time.Millisecond, outcome.Answered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := newHostsWithEndpoint(t, "a", tc.work)
				call := func(key string) outcome.Refusal {
					req := post("x")
					req.Deadline, req.Key = time.Now().Add(timeout), key
					_, refusal := a.Call(t.Context(), req)
					return refusal
				}
				if r := call(""); r.Kind != outcome.Answered { // the host learns the service time
					t.Fatalf("call: %+v", r)
				}
				a.Gateway.opt.Bookings = deadlineRegistry{tc.claim}
				if r := call("k"); r.Kind != tc.want {
					t.Errorf("booking: %s (%s), want %s", r.Kind, r.Reason, tc.want)
				}
				for _, x := range []*host{a, b} {
					if err := x.Stop(t.Context()); err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}
