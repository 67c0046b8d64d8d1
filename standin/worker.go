package standin

import (
	"context"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Worker is a stand-in for the agent of one worker host. Simulated time advances
// only to the times passed to its methods, which makes tests deterministic; Drive
// advances it with the system clock.
type Worker struct {
	config WorkerConfig

	mu      sync.Mutex
	machine *machine
	changed chan struct{}
}

// NewWorker returns an idle worker whose simulated time is now.
func NewWorker(config WorkerConfig, now time.Time) *Worker {
	return &Worker{config: config, machine: newMachine(config, now), changed: make(chan struct{})}
}

// Name returns the worker's name in the membership list.
func (w *Worker) Name() string { return w.config.Name }

// Advance advances the simulated time to now.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.advance(now)
}

// SetAt replaces the faults at the time now.
func (w *Worker) SetAt(now time.Time, f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.setFaults(now, f)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Set replaces the faults at the system clock's time.
func (w *Worker) Set(f WorkerFaults) { w.SetAt(time.Now(), f) }

// RestartAt ends all runs at the time now and begins another life of the worker under its
// name: incarnation, clock, sequence numbers and all that it has received are new.
func (w *Worker) RestartAt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.restart(now)
}

// Restart is RestartAt at the system clock's time.
func (w *Worker) Restart() { w.RestartAt(time.Now()) }

// Faults returns the current faults.
func (w *Worker) Faults() WorkerFaults {
	f, _ := w.get()
	return f
}

func (w *Worker) get() (WorkerFaults, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.faults, w.changed
}

// ExchangeAt processes an exchange that arrives at the time now. With the Paused,
// Dead or Hang fault it returns infra.ErrUnavailable without waiting.
func (w *Worker) ExchangeAt(now time.Time, x infra.Exchange) (infra.ExchangeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machine
	if m.faults.Paused || m.faults.Dead || m.faults.Hang {
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	reply := m.exchange(now, x)
	if m.faults.LoseNext > 0 {
		m.faults.LoseNext--
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return reply, nil
}

// Exchange processes an exchange at the system clock's time. It blocks while the
// Paused or Hang fault is set, at most until ctx is done.
func (w *Worker) Exchange(ctx context.Context, x infra.Exchange) (infra.ExchangeReply, error) {
	for {
		f, changed := w.get()
		if !f.Paused && !f.Hang {
			return w.ExchangeAt(time.Now(), x)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return infra.ExchangeReply{}, infra.ErrUnavailable
		}
	}
}

// Runs returns reports of all runs as of the last simulated time.
func (w *Worker) Runs() []infra.RunReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.reply(0).Runs
}

// Drive advances the simulated time with the system clock, every step, until ctx is
// done.
func (w *Worker) Drive(ctx context.Context, step time.Duration) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Advance(time.Now())
		}
	}
}
