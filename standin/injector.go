package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// injector applies Faults to the requests of one service.
type injector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// changed is closed when the faults are replaced.
	changed chan struct{}
}

func newInjector() *injector {
	return &injector{changed: make(chan struct{}), random: rand.New(rand.NewPCG(0, 0))}
}

// Set replaces the faults and wakes the requests that they block.
func (i *injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.random = rand.New(rand.NewPCG(f.Seed, 0))
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns the current faults.
func (i *injector) Faults() Faults {
	f, _ := i.get()
	return f
}

func (i *injector) get() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// loseReply reports whether to drop the next reply, and counts it.
func (i *injector) loseReply() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseNext > 0 {
		i.faults.LoseNext--
		return true
	}
	return i.faults.LoseShare > 0 && i.random.Float64() < i.faults.LoseShare
}

// run applies the faults to one request, which effect processes. With Paused or
// DelayMS, effect may run after run has returned lost.
func (i *injector) run(ctx context.Context, effect func()) outcome {
	f, v := i.admit(ctx)
	if v != processed {
		return v
	}
	if !f.Paused && f.DelayMS <= 0 {
		effect()
		return i.replyOutcome()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.wait()
		effect()
	}()
	select {
	case <-done:
		return i.replyOutcome()
	case <-ctx.Done():
		return lost
	}
}

// admit rejects the request if Down is set and blocks it while Hang is.
func (i *injector) admit(ctx context.Context) (Faults, outcome) {
	for {
		f, changed := i.get()
		if f.Down {
			return f, refused
		}
		if !f.Hang {
			return f, processed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f, lost
		}
	}
}

// wait blocks while Paused is set and then for DelayMS; a change of faults ends the
// delay early.
func (i *injector) wait() {
	for {
		f, changed := i.get()
		if f.Paused {
			<-changed
			continue
		}
		timer := time.NewTimer(time.Duration(f.DelayMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-changed:
		}
		return
	}
}

func (i *injector) replyOutcome() outcome {
	if i.loseReply() {
		return lost
	}
	return processed
}
