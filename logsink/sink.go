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
	// queueLines bounds the lines that wait for the output: a second of the
	// default budget, at some 250 bytes a line.
	queueLines = 1024
	// turnEvery is the time between two looks at what was folded or dropped.
	turnEvery = time.Second
)

// Options of a Sink.
type Options struct {
	// Level is the least severity that is logged.
	Level slog.Leveler
	// Lines is the budget of lines a second, DefaultLinesPerSecond if 0.
	LinesPerSecond int
	// Routine tells of an event's number whether its lines are routine. All
	// other lines may use the reserve.
	IsRoutine func(event int64) bool
	// Dropped logs that lines were dropped since the last time, to a logger
	// that bypasses the queue.
	OnDropped func(log *slog.Logger, overBudget, queueFull int64)
	// Ticks are the looks at what was folded or dropped; one a second if nil.
	Ticks <-chan time.Time
}

// Sink encodes lines as JSON and writes them in the background.
type Sink struct {
	opts  Options
	out   io.Writer
	queue chan []byte
	stats Stats
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	encoded bytes.Buffer
	budget  *budget
	folder  *folder
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer, o Options) *Sink {
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	s := &Sink{
		opts: o, out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		budget: newBudget(o.LinesPerSecond), folder: newFolder(),
	}
	go s.write()
	return s
}

// Handler returns the handler to log through.
func (s *Sink) Handler() slog.Handler {
	return &handler{sink: s, json: slog.NewJSONHandler(&s.encoded, &slog.HandlerOptions{Level: s.opts.Level})}
}

// Stats returns the counts of lines.
func (s *Sink) Stats() *Stats { return &s.stats }

// Close writes what waits and ends the sink, or gives up when ctx is over.
func (s *Sink) Close(ctx context.Context) {
	s.turn(time.Now().Add(foldWindow))
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

// handle encodes one record and queues it.
func (s *Sink) handle(ctx context.Context, json slog.Handler, r *slog.Record) error {
	routine := s.routine(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.budget.spent(r.Time, routine) {
		s.stats.OverBudget.Add(1)
		return nil
	}
	s.encoded.Reset()
	if err := json.Handle(ctx, *r); err != nil {
		return err
	}
	line := s.encoded.Bytes()
	if s.folder.repeated(line) {
		s.stats.Folded.Add(1)
		return nil
	}
	if !s.budget.take(r.Time, routine) {
		s.stats.OverBudget.Add(1)
		return nil
	}
	s.enqueue(bytes.Clone(line))
	return nil
}

// enqueue hands a line to the writer unless the queue is full.
func (s *Sink) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.stats.QueueFull.Add(1)
	}
}

// routine reports whether a record is of a routine event.
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

// write is the only one to write to the output.
func (s *Sink) write() {
	defer close(s.done)
	ticks := s.opts.Ticks
	if ticks == nil {
		ticker := time.NewTicker(turnEvery)
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
			s.turn(now)
			b, q := s.stats.OverBudget.Load(), s.stats.QueueFull.Load()
			if (b > overBudget || q > queueFull) && s.opts.OnDropped != nil {
				s.opts.OnDropped(slog.New(slog.NewJSONHandler(s.out, nil)), b-overBudget, q-queueFull)
			}
			overBudget, queueFull = b, q
		}
	}
}

// writeLine writes one line. An output that fails can't be told of by a log
// line; it only isn't counted as written.
func (s *Sink) writeLine(line []byte) {
	if _, err := s.out.Write(line); err == nil {
		s.stats.Written.Add(1)
	}
}

// turn queues the lines that were folded, with their counts.
func (s *Sink) turn(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, line := range s.folder.turn(now) {
		s.enqueue(line)
	}
}
