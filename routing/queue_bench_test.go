package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkQueueOrder compares queueing orders and admission policies under
// overload: 16 slots of 10 ms each at 1.5 and 3 times their capacity, with
// request timeouts of 100 ms and 1 s. For a fifth of each second requests take
// ten times as long, which admission does not know.
func BenchmarkQueueOrder(b *testing.B) {
	orders := map[string]order{"oldest": oldestFirst, "newest": newestFirst, "adaptive": adaptive, "deadline": earliestDeadline}
	for _, name := range []string{"oldest", "newest", "adaptive", "deadline"} {
		for _, c := range []struct {
			name      string
			load      float64
			admission admission
		}{
			{"1.5x", 1.5, standing},
			{"3x", 3, standing},
			{"1.5x-deadline", 1.5, byDeadline},
			{"3x-deadline", 3, byDeadline},
			{"3x-blind", 3, lengthOnly},
		} {
			b.Run(name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					s := &queueSim{load: c.load, admission: c.admission, order: orders[name], queue: NewQueue(1024)}
					s.run()
					s.report(b)
				}
			})
		}
	}
}

// order decides which ticket is served next.
type order uint8

const (
	oldestFirst order = iota // the order of Queue
	newestFirst
	adaptive // newest first once the oldest has waited for half its timeout
	earliestDeadline
)

// admission is the admission policy at arrival.
type admission uint8

const (
	lengthOnly admission = iota // only the queue's length
	byDeadline                  // the estimated wait
	standing                    // the estimated wait and standing queues
)

const (
	simSlots       = 16
	simServiceTime = 10 * time.Millisecond
	simStep        = 100 * time.Microsecond
	simDuration    = 20 * time.Second
)

// queueSim simulates a queue in steps of simStep.
type queueSim struct {
	load      float64
	admission admission
	order     order
	queue     *Queue
	busy      [simSlots]time.Time // busy until
	deadlines map[*Ticket]time.Time
	answered  *hdrhistogram.Histogram // ms until answered
	refused   *hdrhistogram.Histogram // ms until refused
}

func (s *queueSim) run() {
	r := rand.New(rand.NewPCG(7, 0))
	s.answered, s.refused = hdrhistogram.New(1, 10_000, 3), hdrhistogram.New(1, 10_000, 3)
	s.deadlines = map[*Ticket]time.Time{}
	perStep := s.load * simSlots * simStep.Seconds() / simServiceTime.Seconds()
	for now := t0; now.Before(t0.Add(simDuration)); now = now.Add(simStep) {
		for n := perStep; n > r.Float64(); n-- {
			s.arrive(now, r)
		}
		for t := range s.deadlines {
			if !now.Before(t.WaitDeadline) {
				s.queue.Remove(t)
				delete(s.deadlines, t)
				_ = s.refused.RecordValue(now.Sub(t.QueuedAt).Milliseconds())
			}
		}
		for i := range s.busy {
			if !now.Before(s.busy[i]) {
				s.serve(now, i)
			}
		}
	}
}

func (s *queueSim) arrive(now time.Time, r *rand.Rand) {
	timeout := 100 * time.Millisecond
	if r.IntN(2) == 0 {
		timeout = time.Second
	}
	rate := simSlots / simServiceTime.Seconds()
	full := s.queue.Full()
	if s.admission > 0 && !s.queue.Admit(now, rate, simServiceTime, timeout).Admitted || full {
		_ = s.refused.RecordValue(0)
		return
	}
	if s.admission == byDeadline {
		s.queue.longSince = now // never a standing queue
	}
	t := &Ticket{QueuedAt: now, WaitDeadline: now.Add(timeout - simServiceTime)}
	s.queue.Push(t)
	s.deadlines[t] = now.Add(timeout)
}

func (s *queueSim) serve(now time.Time, slot int) {
	t := s.pop(now)
	if t == nil {
		return
	}
	work := simServiceTime
	if now.Sub(t0)%time.Second < 200*time.Millisecond {
		work *= 10
	}
	s.busy[slot] = now.Add(work)
	if !s.busy[slot].After(s.deadlines[t]) {
		_ = s.answered.RecordValue(s.busy[slot].Sub(t.QueuedAt).Milliseconds())
	}
	delete(s.deadlines, t)
}

// pop removes the ticket to be served next.
func (s *queueSim) pop(now time.Time) *Ticket {
	var chosen *Ticket
	for e := s.queue.tickets.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Ticket)
		if now.Before(t.WaitDeadline) && (chosen == nil || s.precedes(now, t, chosen)) {
			chosen = t
		}
	}
	if chosen != nil {
		s.queue.Remove(chosen)
	}
	return chosen
}

// precedes reports whether t, which arrived after chosen, is to be served
// before it.
func (s *queueSim) precedes(now time.Time, t, chosen *Ticket) bool {
	switch s.order {
	case newestFirst:
		return true
	case adaptive:
		oldest := s.queue.tickets.Front().Value.(*Ticket)
		return now.Sub(oldest.QueuedAt) > oldest.WaitDeadline.Sub(oldest.QueuedAt)/2
	case earliestDeadline:
		return t.WaitDeadline.Before(chosen.WaitDeadline)
	default:
		return false
	}
}

func (s *queueSim) report(b *testing.B) {
	capacity := simDuration.Seconds() * simSlots / simServiceTime.Seconds()
	b.ReportMetric(float64(s.answered.TotalCount())/capacity, "goodput/capacity")
	b.ReportMetric(float64(s.answered.ValueAtQuantile(50)), "answer-p50-ms")
	b.ReportMetric(float64(s.answered.ValueAtQuantile(99)), "answer-p99-ms")
	b.ReportMetric(float64(s.refused.ValueAtQuantile(50)), "refusal-p50-ms")
	b.ReportMetric(float64(s.refused.ValueAtQuantile(99)), "refusal-p99-ms")
}
