package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/trace"
)

// stateLine returns a log line of a domain state event.
func stateLine(second int, waits, traffic, loop string, commitAge int) string {
	return fmt.Sprintf(`%d.1 edge-1 {"time":"2026-01-01T00:00:%02dZ","level":"INFO","msg":"domain state","event":912,`+
		`"state":{"waits":{%s}},"traffic":{%s},"loop":{%s},"commit_age_ms":%d}`, second, second, waits, traffic, loop, commitAge)
}

// TestBottlenecks checks the bottleneck of each second. An old commit (store) takes
// precedence over a late loop (processor), that over slow orders, and these over
// missing capacity.
func TestBottlenecks(t *testing.T) {
	const calm, slow = `"smoothed_ms":5`, `"smoothed_ms":120`
	const idle = `"late_ms":2,"cycles":50,"held_back":0`
	records, skipped, err := trace.Read(strings.NewReader(strings.Join([]string{
		stateLine(1, ``, calm, idle, 20),
		stateLine(2, `"fits":3,"restart_fits":2`, calm, idle, 20),
		stateLine(3, `"no_processors":4,"fits":1`, calm, idle, 20),
		stateLine(4, `"fits":900`, slow, idle, 20),
		stateLine(5, `"fits":900`, calm, `"late_ms":2,"cycles":50,"held_back":40`, 20),
		stateLine(6, `"fits":900`, slow, `"late_ms":300,"cycles":5,"held_back":0`, 20),
		stateLine(7, `"fits":900`, slow, `"late_ms":300,"cycles":5,"held_back":0`, 4000),
	}, "\n")))
	if err != nil || skipped != 0 {
		t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	var b strings.Builder
	if err := trace.WriteBottlenecks(&b, trace.Bottlenecks(records)); err != nil {
		t.Fatal(err)
	}
	want := `bound by none for 2 s
bound by orders for 2 s
bound by processor for 1 s
bound by room for 1 s
bound by store for 1 s
    00:00:02.0 to 00:00:03.0 edge-1: room
    00:00:03.0 to 00:00:05.0 edge-1: orders
    00:00:05.0 to 00:00:06.0 edge-1: processor
    00:00:06.0 to 00:00:07.0 edge-1: store
`
	if b.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
}
