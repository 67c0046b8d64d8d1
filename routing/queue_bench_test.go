package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkQueueOrder simulates 16 slots of 10 ms each, offered 1.5 times and 3
// times what they serve, by requests of which half may take 100 ms and half
// 1 s. For a fifth of each second the work takes ten times as long, unseen by
// admission. It compares the orders, with admission at arrival and without.
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
			{"3x-blind", 3, blind},
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

// order is which ticket is served next.
type order uint8

const (
	oldestFirst order = iota // what Queue does
	newestFirst
	adaptive // newest first once the oldest has waited for half its patience
	earliestDeadline
)

// admission is what decides at arrival.
type admission uint8

const (
	blind      admission = iota // nothing but the queue's length
	byDeadline                  // the estimated wait
	standing                    // the estimated wait, and whether it lasts
)

const (
	simSlots = 16
	simWork  = 10 * time.Millisecond
	simStep  = 100 * time.Microsecond
	simTime  = 20 * time.Second
)

// queueSim advances in steps of simStep.
type queueSim struct {
	load      float64
	admission admission
	order     order
	queue     *Queue
	busy      [simSlots]time.Time // until when
	waiting   map[*Ticket]time.Time
	good      *hdrhistogram.Histogram // ms until answered
	refused   *hdrhistogram.Histogram // ms until refused
}

func (s *queueSim) run() {
	r := rand.New(rand.NewPCG(7, 0))
	s.good, s.refused = hdrhistogram.New(1, 10_000, 3), hdrhistogram.New(1, 10_000, 3)
	s.waiting = map[*Ticket]time.Time{}
	perStep := s.load * simSlots * simStep.Seconds() / simWork.Seconds()
	for now := t0; now.Before(t0.Add(simTime)); now = now.Add(simStep) {
		for n := perStep; n > r.Float64(); n-- {
			s.arrive(now, r)
		}
		for t := range s.waiting {
			if !now.Before(t.WaitDeadline) {
				s.queue.Remove(t)
				delete(s.waiting, t)
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
	patience := 100 * time.Millisecond
	if r.IntN(2) == 0 {
		patience = time.Second
	}
	rate := simSlots / simWork.Seconds()
	full := s.queue.Full()
	if s.admission > 0 && !s.queue.Admit(now, rate, simWork, patience).Admitted || full {
		_ = s.refused.RecordValue(0)
		return
	}
	if s.admission == byDeadline {
		s.queue.longSince = now // never standing
	}
	t := &Ticket{QueuedAt: now, WaitDeadline: now.Add(patience - simWork)}
	s.queue.Push(t)
	s.waiting[t] = now.Add(patience)
}

func (s *queueSim) serve(now time.Time, slot int) {
	t := s.pop(now)
	if t == nil {
		return
	}
	work := simWork
	if now.Sub(t0)%time.Second < 200*time.Millisecond {
		work *= 10
	}
	s.busy[slot] = now.Add(work)
	if !s.busy[slot].After(s.waiting[t]) {
		_ = s.good.RecordValue(s.busy[slot].Sub(t.QueuedAt).Milliseconds())
	}
	delete(s.waiting, t)
}

// pop takes out the ticket that the order serves next.
func (s *queueSim) pop(now time.Time) *Ticket {
	var chosen *Ticket
	for e := s.queue.tickets.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Ticket)
		if now.Before(t.WaitDeadline) && (chosen == nil || s.better(now, t, chosen)) {
			chosen = t
		}
	}
	if chosen != nil {
		s.queue.Remove(chosen)
	}
	return chosen
}

// better reports whether t, which came after chosen, is to be served first.
func (s *queueSim) better(now time.Time, t, chosen *Ticket) bool {
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
	capacity := simTime.Seconds() * simSlots / simWork.Seconds()
	b.ReportMetric(float64(s.good.TotalCount())/capacity, "goodput/capacity")
	b.ReportMetric(float64(s.good.ValueAtQuantile(50)), "answer-p50-ms")
	b.ReportMetric(float64(s.good.ValueAtQuantile(99)), "answer-p99-ms")
	b.ReportMetric(float64(s.refused.ValueAtQuantile(50)), "refusal-p50-ms")
	b.ReportMetric(float64(s.refused.ValueAtQuantile(99)), "refusal-p99-ms")
}
