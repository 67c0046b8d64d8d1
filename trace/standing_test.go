package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/trace"
)

// standingLine returns the log line of a task that an owner found to stand.
func standingLine(host string, second int, task, check string, more int) string {
	return fmt.Sprintf(`%s {"time":"2026-01-01T00:00:%02dZ","event":919,"task":%q,"for_ms":3000,"check":%q,"left_ms":1500,"worker":"i-1","more":%d}`,
		host, second, task, check, more)
}

// TestStandingTasks guards against a report from which the cause of a task that stood still
// can't be told: each owner's entry is named, with its end if that is known.
func TestStandingTasks(t *testing.T) {
	records, skipped, err := trace.Read(strings.NewReader(strings.Join([]string{
		standingLine("edge-1", 10, "a.0.0.0", "lease", 4),
		standingLine("edge-1", 10, "a.0.0.1", "lease", 4),
		standingLine("edge-2", 14, "a.0.0.0", "no_processors", 0),
		`edge-2 {"time":"2026-01-01T00:00:16Z","event":970,"task":"a.0.0.0","stood_ms":5000}`,
		`edge-2 {"time":"2026-01-01T00:00:16Z","event":970,"task":"b.0.0.0","stood_ms":5000}`,
	}, "\n")))
	if err != nil || skipped != 0 {
		t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	var b strings.Builder
	tasks, unnamed := trace.StandingTasks(records)
	if err := trace.WriteStandingTasks(&b, tasks, unnamed); err != nil {
		t.Fatal(err)
	}
	want := `long-running tasks that stood still: 3, and 4 unnamed
    00:00:07.0 edge-1 a.0.0.0: until the end of the log or of its owner, by lease of i-1, 1.5 s left when logged
    00:00:07.0 edge-1 a.0.0.1: until the end of the log or of its owner, by lease of i-1, 1.5 s left when logged
    00:00:11.0 edge-2 a.0.0.0: for 5.0 s, by no_processors of i-1, 1.5 s left when logged
`
	if b.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
}
