package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestQueue runs scripts of the operations: push NAME AT-MS WAIT-DEADLINE-MS,
// pop AT-MS, remove NAME.
func TestQueue(t *testing.T) {
	q := NewQueue(3)
	names := map[*Ticket]string{}
	byName := map[string]*Ticket{}
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	datadriven.RunTest(t, "testdata/queue", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var name string
			var now, waitDeadline int
			switch f := strings.Fields(line); f[0] {
			case "push":
				_, _ = fmt.Sscan(strings.Join(f[1:], " "), &name, &now, &waitDeadline)
				if q.Full() {
					fmt.Fprintf(&out, "%s: full\n", name)
					continue
				}
				tk := &Ticket{QueuedAt: at(now), WaitDeadline: at(waitDeadline)}
				names[tk], byName[name] = name, tk
				q.Push(tk)
			case "pop":
				_, _ = fmt.Sscan(f[1], &now)
				if tk := q.Pop(at(now)); tk != nil {
					fmt.Fprintf(&out, "%d: %s\n", now, names[tk])
				} else {
					fmt.Fprintf(&out, "%d: none\n", now)
				}
			case "remove":
				fmt.Fprintf(&out, "remove %s: %v\n", f[1], q.Remove(byName[f[1]]))
			}
		}
		return out.String()
	})
}

func TestAdmit(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		waiting   int
		limit     int
		long      time.Duration // how long the queue has been long
		rate      float64
		remaining time.Duration
		reason    string
	}{
		{"in time", 9, 20, 0, 100, 200 * ms, ""},
		{"too late", 9, 20, 0, 100, 119 * ms, ReasonDeadlineUnreachable},
		{"full", 9, 9, 0, 100, time.Second, ReasonQueueFull},
		{"burst", 9, 20, standingQueueAfter, 100, time.Second, ""},
		{"standing", 9, 20, standingQueueAfter + 1, 100, time.Second, ReasonOverloaded},
		{"standing but short", 4, 20, standingQueueAfter + 1, 100, time.Second, ""},
		{"slots elsewhere", 0, 20, 0, 0, ms, ""},
		{"slots elsewhere and full", 1, 1, 0, 0, ms, ReasonQueueFull},
	} {
		q := NewQueue(c.limit)
		for range c.waiting {
			q.Push(&Ticket{QueuedAt: t0, WaitDeadline: t0.Add(time.Second)})
		}
		q.longSince = t0
		q.longLast = t0.Add(c.long)
		got := q.Admit(t0.Add(c.long), c.rate, 10*ms, c.remaining)
		if got.Reason != c.reason || got.Admitted != (c.reason == "") || (!got.Admitted && got.RetryAfter <= 0) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
