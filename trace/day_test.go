package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/trace"
)

// dayLine is a line on a job that is over.
func dayLine(second int, job, reached string, coreMS int, spent string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","level":"INFO","msg":"job is over, or past its use","event":931,`+
		`"job":%q,"queue":"drafts","reached":%q,"core_ms":%d,"spent":{%s}}`, second, job, reached, coreMS, spent)
}

// TestDay adds up ten jobs: the largest was lost, told twice by two owners, and
// the next one was late.
func TestDay(t *testing.T) {
	lines := []string{
		dayLine(9, "large", "late", 90_000, `"waited_would_harm_ms":1`), // told first at 5 s
		dayLine(5, "large", "lost", 90_000, `"starts":30,"stopped":6,"waited_would_harm_ms":6000,"running_ms":2000`),
		dayLine(6, "next", "late", 50_000, `"starts":10,"stopped":0,"slowed_ms":3000,"running_ms":1000`),
	}
	for i := range 8 {
		lines = append(lines, dayLine(7, fmt.Sprint("small", i), "on time", 1000, `"running_ms":1000`))
	}
	records, unread, err := trace.Read(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil || unread != 0 {
		t.Fatalf("%d lines not read, error %v", unread, err)
	}
	var b strings.Builder
	if err := trace.WriteJobSummaries(&b, trace.SummarizeJobs(records)); err != nil {
		t.Fatal(err)
	}
	want := `drafts, fifth below: 1 on time, 1 late, 0 lost; 50 of 51 core-seconds missed
    4 s: slowed 75%, running 25%; 0 of 10 runs stopped
drafts, largest tenth: 0 on time, 0 late, 1 lost; 90 of 90 core-seconds missed
    8 s: waited_would_harm 75%, running 25%; 6 of 30 runs stopped
drafts, others: 7 on time, 0 late, 0 lost; 0 of 7 core-seconds missed
`
	if b.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
}
