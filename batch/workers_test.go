package batch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// runInterval is one run as recorded by its worker.
type runInterval struct {
	run        infra.RunID
	worker     string
	from, to   time.Time
	checkpoint string
}

// fakeRun is one run on a fake worker.
type fakeRun struct {
	report infra.RunReport
	seq    uint64
	endsAt time.Time
	at     int // index in history
}

// fakeWorker is one worker host.
type fakeWorker struct {
	name string
	// life counts the lives of the worker under its name. Sequence numbers, the clock and
	// all that a life has received are its own.
	life        int
	startedAt   time.Time
	ownerEpoch  uint64
	leaseUntil  time.Time
	seq         uint64
	runs        map[infra.RunID]*fakeRun
	newestEpoch map[string]uint64
	tombstones  map[infra.RunID]bool

	// Faults.
	cut               bool // is unreachable
	loseReplies       int  // number of exchanges to apply without a reply
	paused            bool // does not reply, end runs or check its lease
	failAll           bool
	killAll           bool          // kills all its runs
	loseCheckpoints   bool          // checkpoints are lost
	cutAfterLostReply bool          // becomes unreachable with the next lost reply
	lag               time.Duration // delay of an exchange in flight
	slowStop          time.Duration // from lease expiry to the end of the run
	newestFirst       bool          // lists the runs in the opposite order
}

// incarnation identifies the life of the worker.
func (w *fakeWorker) incarnation() string { return fmt.Sprint(w.name, "#", w.life) }

// beginLife resets all that belongs to one life.
func (w *fakeWorker) beginLife() {
	w.life++
	w.startedAt, w.ownerEpoch, w.leaseUntil, w.seq = time.Now(), 0, time.Time{}, 0
	w.runs, w.newestEpoch, w.tombstones = map[infra.RunID]*fakeRun{}, map[string]uint64{}, map[infra.RunID]bool{}
}

// fakeWorkers implements infra.Workers with fake workers by address.
type fakeWorkers struct {
	mu      sync.Mutex
	hosts   map[string]*fakeWorker
	history []runInterval
	refused int
	// hook is called with each exchange before it is applied.
	hook func(address string, x infra.Exchange)
}

func newFakeWorkers(names ...string) *fakeWorkers {
	f := &fakeWorkers{hosts: map[string]*fakeWorker{}}
	for _, n := range names {
		f.add(n, n)
	}
	return f
}

// add adds an idle worker at an address. One of the same name at another address is
// another machine.
func (f *fakeWorkers) add(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &fakeWorker{name: name}
	for _, other := range f.hosts {
		if other.name == name {
			w.life = max(w.life, other.life)
		}
	}
	w.beginLife()
	f.hosts[address] = w
}

// restart ends all runs of a worker, which starts again under its name and address.
func (f *fakeWorkers) restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.hosts[address]
	f.advance(w, time.Now())
	for _, r := range w.runs {
		if r.report.State == infra.RunRunning {
			f.end(w, r, infra.RunExpired, time.Now())
		}
	}
	w.beginLife()
}

// set changes a worker's faults.
func (f *fakeWorkers) set(name string, change func(*fakeWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.hosts[name])
}

func (f *fakeWorkers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		hook(address, x)
	}
	f.mu.Lock()
	w := f.hosts[address]
	if lag := w.lag; lag > 0 && !w.cut {
		f.mu.Unlock()
		<-time.After(lag)
		f.mu.Lock()
	}
	if w.cut || w.paused || ctx.Err() != nil {
		f.mu.Unlock()
		<-ctx.Done()
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	defer f.mu.Unlock()
	reply := f.apply(w, x)
	if w.loseReplies > 0 {
		w.loseReplies--
		w.cut = w.cut || w.cutAfterLostReply
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return reply, nil
}

// apply applies an exchange.
func (f *fakeWorkers) apply(w *fakeWorker, x infra.Exchange) infra.ExchangeReply {
	now := time.Now()
	clockMS := now.Sub(w.startedAt).Milliseconds()
	other := x.Incarnation != "" && (x.Incarnation != w.incarnation() || clockMS > x.ValidUntilMS)
	if other || x.Incarnation == "" && x.Starts() {
		return infra.ExchangeReply{Stale: true, Incarnation: w.incarnation(), ClockMS: clockMS}
	}
	if x.OwnerEpoch < w.ownerEpoch {
		f.refused++
		return infra.ExchangeReply{Refused: true}
	}
	f.advance(w, now)
	w.ownerEpoch = x.OwnerEpoch
	if x.Incarnation != "" {
		w.leaseUntil = now.Add(time.Duration(x.LeaseMS) * time.Millisecond)
	}
	for _, o := range x.Orders {
		f.order(w, o, now)
	}
	f.advance(w, now)
	reply := infra.ExchangeReply{Seq: w.seq, FullList: x.Since == 0, Incarnation: w.incarnation(), ClockMS: clockMS}
	for _, r := range w.runs {
		if x.Since == 0 || r.seq > x.Since {
			reply.Runs = append(reply.Runs, r.report)
		}
	}
	slices.SortFunc(reply.Runs, func(a, b infra.RunReport) int { return strings.Compare(a.Run.Job, b.Run.Job) })
	if w.newestFirst {
		slices.Reverse(reply.Runs)
	}
	return reply
}

// advance ends the runs that have finished or whose lease has expired by now.
func (f *fakeWorkers) advance(w *fakeWorker, now time.Time) {
	if w.paused {
		return
	}
	for _, r := range w.runs {
		if r.report.State != infra.RunRunning {
			continue
		}
		if !r.endsAt.IsZero() && !now.Before(r.endsAt) && !r.endsAt.After(w.leaseUntil) {
			r.report.DoneMS = r.endsAt.Sub(f.history[r.at].from).Milliseconds()
			f.end(w, r, infra.RunDone, r.endsAt)
		} else if now.After(w.leaseUntil.Add(w.slowStop)) {
			f.end(w, r, infra.RunExpired, w.leaseUntil.Add(w.slowStop))
		}
	}
}

// end ends a run at the given time.
func (f *fakeWorkers) end(w *fakeWorker, r *fakeRun, state infra.RunState, at time.Time) {
	w.seq++
	r.seq = w.seq
	r.report.State = state
	f.history[r.at].to = at
}

// order applies one order.
func (f *fakeWorkers) order(w *fakeWorker, o infra.Order, now time.Time) {
	r := w.runs[o.Run]
	running := r != nil && r.report.State == infra.RunRunning
	switch o.Kind {
	case infra.OrderStart:
		f.start(w, r, o, now)
	case infra.OrderCheckpoint:
		if running {
			r.report.DoneMS = now.Sub(f.history[r.at].from).Milliseconds()
			if !w.loseCheckpoints {
				r.report.Checkpoint = o.Run.Job + "@" + now.Format("05.000")
			}
			f.end(w, r, infra.RunStopped, now)
		}
	case infra.OrderStop:
		w.tombstones[o.Run] = true
		if running {
			f.end(w, r, infra.RunStopped, now)
		}
	case infra.OrderForget:
		w.tombstones[o.Run] = true
		delete(w.runs, o.Run)
	}
}

// start starts a run unless the order is a repeat or superseded.
func (f *fakeWorkers) start(w *fakeWorker, r *fakeRun, o infra.Order, now time.Time) {
	if r != nil {
		return
	}
	w.seq++
	r = &fakeRun{seq: w.seq, report: infra.RunReport{Run: o.Run, State: infra.RunRunning, Resources: o.Resources}}
	w.runs[o.Run] = r
	if w.tombstones[o.Run] || w.newestEpoch[o.Run.Job] > o.Run.Epoch {
		r.report.State = infra.RunRefused
		return
	}
	w.newestEpoch[o.Run.Job] = o.Run.Epoch
	r.at = len(f.history)
	f.history = append(f.history, runInterval{run: o.Run, worker: w.name, from: now, checkpoint: o.Checkpoint})
	if o.WorkMS > 0 {
		r.endsAt = now.Add(time.Duration(o.WorkMS) * time.Millisecond)
	}
	if w.killAll {
		f.end(w, r, infra.RunKilled, now)
	}
	if w.failAll {
		f.end(w, r, infra.RunFailed, now)
	}
}

// advanceAll advances all workers to the current time.
func (f *fakeWorkers) advanceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.hosts {
		f.advance(w, time.Now())
	}
}

// runsOf returns the runs of a job.
func (f *fakeWorkers) runsOf(job string) []runInterval {
	f.advanceAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []runInterval
	for _, i := range f.history {
		if i.run.Job == job {
			out = append(out, i)
		}
	}
	return out
}

// overlap returns a violation in the history, empty for none: a job that ran on
// two workers at once, or an epoch that ran twice.
func (f *fakeWorkers) overlap() string {
	f.advanceAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	byJob := map[string][]runInterval{}
	for _, i := range f.history {
		byJob[i.run.Job] = append(byJob[i.run.Job], i)
	}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		list := byJob[job]
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.run == b.run {
					return job + ": an epoch ran twice"
				}
				if (a.to.IsZero() || a.to.After(b.from)) && (b.to.IsZero() || b.to.After(a.from)) {
					return job + ": ran on " + a.worker + " and " + b.worker + " at once"
				}
			}
		}
	}
	return ""
}
