package logsink

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// queueCapacity bounds the lines that wait for the output, about a second at
	// the default rate.
	queueCapacity = 1024
	// flushInterval is how often repeat counts and dropped lines are reported.
	flushInterval = time.Second
)

// Options configures a Sink.
type Options struct {
	// Level is the minimum level that is logged.
	Level slog.Leveler
	// LinesPerSecond is the logging rate limit, DefaultLinesPerSecond if 0.
	LinesPerSecond int
	// IsRoutine reports whether the event with the number is routine. Lines of
	// other events may use the reserve. If nil, no line is routine.
	IsRoutine func(event int64) bool
	// OnDropped is called with the numbers of lines dropped since its last call
	// and a logger that bypasses the queue.
	OnDropped func(log *slog.Logger, overBudget, queueFull int64)
	// Ticks triggers the reports of repeat counts and dropped lines, once a second
	// if nil.
	Ticks <-chan time.Time
}

// Sink encodes lines as JSON and writes them in the background.
type Sink struct {
	opts  Options
	out   io.Writer
	queue chan []byte
	stats Stats
	done  chan struct{}

	mu           sync.Mutex
	closed       bool
	encoded      bytes.Buffer
	budget       *budget
	repeatFilter *repeatFilter
}

// New returns a sink that writes to out. Close must be called to stop it.
func New(out io.Writer, o Options) *Sink {
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	s := &Sink{
		opts: o, out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{}),
		budget: newBudget(o.LinesPerSecond), repeatFilter: newRepeatFilter(),
	}
	go s.write()
	return s
}

// Handler returns a slog.Handler that writes to the sink.
func (s *Sink) Handler() slog.Handler {
	return &handler{sink: s, json: slog.NewJSONHandler(&s.encoded, &slog.HandlerOptions{Level: s.opts.Level})}
}

// Stats returns the sink's line counts.
func (s *Sink) Stats() *Stats { return &s.stats }

// Close writes the queued lines and stops the sink. It returns early when ctx
// ends. Lines logged afterwards are discarded.
func (s *Sink) Close(ctx context.Context) {
	s.flushRepeats(time.Now().Add(foldWindow))
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// handle encodes a record and queues it unless it is folded or dropped.
func (s *Sink) handle(ctx context.Context, json slog.Handler, r *slog.Record) error {
	routine := s.routine(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.budget.exhausted(r.Time, routine) {
		s.stats.OverBudget.Add(1)
		return nil
	}
	s.encoded.Reset()
	if err := json.Handle(ctx, *r); err != nil {
		return err
	}
	line := s.encoded.Bytes()
	if s.repeatFilter.recordLine(line) {
		s.stats.Folded.Add(1)
		return nil
	}
	if !s.budget.allow(r.Time, routine) {
		s.stats.OverBudget.Add(1)
		return nil
	}
	s.enqueue(bytes.Clone(line))
	return nil
}

// enqueue queues a line, or drops it if the queue is full.
func (s *Sink) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.stats.QueueFull.Add(1)
	}
}

// routine reports whether a record belongs to a routine event.
func (s *Sink) routine(r *slog.Record) bool {
	routine := false
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "event" && s.opts.IsRoutine != nil {
			routine = s.opts.IsRoutine(a.Value.Int64())
		}
		return false // the event's number is the first attribute
	})
	return routine
}

// write writes the queued lines until the sink is closed, and reports repeat counts
// and dropped lines at each tick. No other goroutine uses the output.
func (s *Sink) write() {
	defer close(s.done)
	ticks := s.opts.Ticks
	if ticks == nil {
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	var overBudget, queueFull int64
	for {
		select {
		case line, ok := <-s.queue:
			if !ok {
				return
			}
			s.writeLine(line)
		case now := <-ticks:
			s.flushRepeats(now)
			b, q := s.stats.OverBudget.Load(), s.stats.QueueFull.Load()
			if (b > overBudget || q > queueFull) && s.opts.OnDropped != nil {
				s.opts.OnDropped(slog.New(slog.NewJSONHandler(s.out, nil)), b-overBudget, q-queueFull)
			}
			overBudget, queueFull = b, q
		}
	}
}

// writeLine writes a line. Write errors can't be logged; such lines aren't counted
// as written.
func (s *Sink) writeLine(line []byte) {
	if _, err := s.out.Write(line); err == nil {
		s.stats.Written.Add(1)
	}
}

// flushRepeats queues the repeated lines of an elapsed window, with their counts.
func (s *Sink) flushRepeats(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, line := range s.repeatFilter.flushRepeats(now) {
		s.enqueue(line)
	}
}
