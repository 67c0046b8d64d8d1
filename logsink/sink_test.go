package logsink_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/logsink"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// recorder is an output that records what is written.
type recorder struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (p *recorder) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.Write(line)
}

// lines returns the decoded lines.
func (p *recorder) lines(t *testing.T) []map[string]any {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(p.b.String()), "\n") {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("line %q: %v", text, err)
		}
		all = append(all, line)
	}
	return all
}

// options returns options with a rate limit and without periodic reports.
func options(lines int) logsink.Options {
	return logsink.Options{LinesPerSecond: lines, IsRoutine: event.IsRoutine, Ticks: make(chan time.Time)}
}

// start is the time of records whose test sets the time.
var start = time.Unix(1_800_000_000, 0)

// logAt logs an event with a given time.
func logAt(t *testing.T, h slog.Handler, at time.Time, e event.Event, i int) {
	t.Helper()
	r := slog.NewRecord(at, e.Level, e.Message, 0)
	r.AddAttrs(slog.Int("event", e.Number), slog.Int("i", i))
	if err := h.Handle(context.Background(), r); err != nil {
		t.Error(err)
	}
}

// TestBlockedOutputDoesNotBlockLogging logs more lines than the queue holds to a
// blocked output: every call returns and the dropped lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	s := logsink.New(out, options(1_000_000))
	log := slog.New(s.Handler())
	const lines = 5000
	for i := range lines {
		event.OwnershipAcquired.Log(log, slog.Int("i", i))
	}
	over, full := s.Stats().OverBudget.Load(), s.Stats().QueueFull.Load()
	if over != 0 || full < lines-1100 {
		t.Errorf("%d lines over budget and %d dropped by a full queue, want none and most of %d", over, full, lines)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.Close(ended) // returns at once
	event.OwnershipAcquired.Log(log, slog.Int("i", lines))
	close(out.release)
	s.Close(context.Background())
}

// TestReserveIsKeptFromRoutineLines checks that other lines are still written after
// routine lines have exhausted the shared budget.
func TestReserveIsKeptFromRoutineLines(t *testing.T) {
	out := &recorder{}
	s := logsink.New(out, options(100))
	for i := range 500 {
		logAt(t, s.Handler(), start, event.StartAnswered, i)
	}
	for i := range 20 {
		logAt(t, s.Handler(), start, event.OwnershipLost, i)
	}
	s.Close(context.Background())
	counts := map[string]int{}
	for _, line := range out.lines(t) {
		counts[fmt.Sprint(line["event"])]++
	}
	starts, changes := counts[fmt.Sprint(event.StartAnswered.Number)], counts[fmt.Sprint(event.OwnershipLost.Number)]
	if starts != 200 || changes != 20 {
		t.Errorf("%d routine lines and %d other lines written, want the budget of 200 and all 20", starts, changes)
	}
	if got := s.Stats().OverBudget.Load(); got != int64(500-starts) {
		t.Errorf("%d lines counted as over budget, want %d", got, 500-starts)
	}
}

// TestEqualLinesAreFolded checks that a repeated line is written once, and once more
// with its repeat count.
func TestEqualLinesAreFolded(t *testing.T) {
	out := &recorder{}
	s := logsink.New(out, options(1000))
	log := slog.New(s.Handler())
	for range 50 {
		event.OwnerReadFailed.Log(log, slog.String("err", "store refused"))
	}
	event.OwnerReadFailed.Log(log, slog.String("err", "another"))
	s.Close(context.Background())
	lines := out.lines(t)
	if len(lines) != 3 {
		t.Fatalf("%d lines written, want 3: the first, the other and the repeat count", len(lines))
	}
	if lines[2]["repeats"] != 49.0 || lines[2]["err"] != "store refused" {
		t.Errorf("last line %v, want 49 repeats of the first", lines[2])
	}
	if got := s.Stats().Folded.Load(); got != 49 {
		t.Errorf("%d lines counted as folded, want 49", got)
	}
}

// TestLoggerAttributesAreKept checks that attributes and groups of a logger are
// written.
func TestLoggerAttributesAreKept(t *testing.T) {
	out := &recorder{}
	s := logsink.New(out, options(0))
	log := slog.New(s.Handler()).With("host", "edge-1").WithGroup("g")
	log.Info("hello", "k", 1)
	s.Close(context.Background())
	line := out.lines(t)[0]
	if group, ok := line["g"].(map[string]any); line["host"] != "edge-1" || !ok || group["k"] != 1.0 {
		t.Errorf("line %v lacks the logger's attributes", line)
	}
}

// TestDropsAreReported checks that the number of dropped lines is reported even when
// the budget and its reserve are exhausted.
func TestDropsAreReported(t *testing.T) {
	ticks := make(chan time.Time)
	reported := make(chan int64, 1)
	o := options(1)
	o.Ticks = ticks
	o.OnDropped = func(_ *slog.Logger, overBudget, _ int64) { reported <- overBudget }
	s := logsink.New(&recorder{}, o)
	for i := range 100 {
		logAt(t, s.Handler(), start, event.OwnershipLost, i)
	}
	ticks <- start
	if got := <-reported; got != 96 {
		t.Errorf("%d lines reported as dropped, want 96: 100 less two of the budget and two of the reserve", got)
	}
	s.Close(context.Background())
}
