package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/workload"
)

// TestRetryAfterOutage checks the bounds of the retry delay: it follows the outage
// within 1 to 4 s, is spread over a further half, and ends within the caller's time
// limit, but is never below 1 s.
func TestRetryAfterOutage(t *testing.T) {
	for _, c := range []struct{ lasted, left, shortest, longest time.Duration }{
		{0, noTimeLimit, time.Second, 1500 * time.Millisecond},
		{1100 * time.Millisecond, noTimeLimit, 1100 * time.Millisecond, 1650 * time.Millisecond},
		{3 * time.Second, noTimeLimit, 3 * time.Second, 4500 * time.Millisecond},
		{time.Hour, noTimeLimit, 4 * time.Second, 6 * time.Second},
		{3 * time.Second, 2900 * time.Millisecond, 2 * time.Second, 2 * time.Second},
		{3 * time.Second, 4 * time.Second, 3 * time.Second, 4 * time.Second},
		{3 * time.Second, 300 * time.Millisecond, time.Second, time.Second},
		{3 * time.Second, -time.Second, time.Second, time.Second},
	} {
		lowest, highest := noTimeLimit, time.Duration(0)
		for i := range 1000 {
			d := retryAfterOutage(c.lasted, fmt.Sprint("job", i), c.left)
			lowest, highest = min(lowest, d), max(highest, d)
		}
		if lowest < c.shortest || highest > c.longest {
			t.Errorf("after %v with %v left: %v to %v, want %v to %v", c.lasted, c.left, lowest, highest, c.shortest, c.longest)
		}
		// 1,000 IDs use most of the range.
		if want := (c.longest - c.shortest) * 9 / 10; highest-lowest < want {
			t.Errorf("after %v with %v left: spread over %v, want at least %v", c.lasted, c.left, highest-lowest, want)
		}
	}
}

// TestRetryAfterOutageIsStable guards against a caller that gets different delays for the
// same job from several hosts.
func TestRetryAfterOutageIsStable(t *testing.T) {
	if a, b := retryAfterOutage(time.Second, "job", noTimeLimit), retryAfterOutage(time.Second, "job", noTimeLimit); a != b {
		t.Errorf("delays are %v and %v", a, b)
	}
}

// TestTimeLimitReachesOwner checks that a forwarded submission carries what is left of
// the caller's time limit.
func TestTimeLimitReachesOwner(t *testing.T) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(1700*time.Millisecond))
	defer cancel()
	value, err := msgpack.Marshal(withTimeLimit(ctx, now, submitRequest{Job: workload.Job{ID: "job"}}))
	if err != nil {
		t.Fatal(err)
	}
	var q submitRequest
	if err := msgpack.Unmarshal(value, &q); err != nil {
		t.Fatal(err)
	}
	if left := timeLeft(now, q.deadline(now)); q.Job.ID != "job" || left != 1700*time.Millisecond {
		t.Errorf("%v left for %q, want 1.7 s for job", left, q.Job.ID)
	}
}

// TestSubmissionWithoutTimeLimit guards against a submission of an earlier release, or
// with a limit that can't be right, that counts as one without time left, and against a
// submission without a limit that hosts of earlier releases don't know.
func TestSubmissionWithoutTimeLimit(t *testing.T) {
	now := time.Now()
	for _, ms := range []int64{0, -1, 1 << 62} {
		if left := timeLeft(now, (&submitRequest{LimitMS: ms}).deadline(now)); left != noTimeLimit {
			t.Errorf("%v left with a limit of %d ms, want no limit", left, ms)
		}
	}
	value, err := msgpack.Marshal(withTimeLimit(t.Context(), now, submitRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(value, &fields); err != nil {
		t.Fatal(err)
	}
	if len(fields) != 2 {
		t.Errorf("fields are %v, want only the job and the queue", fields)
	}
	if other := withTimeLimit(t.Context(), now, jobRequest{ID: "job"}); other != (jobRequest{ID: "job"}) {
		t.Errorf("another request became %v", other)
	}
}
