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
	// changed is closed at the next change of faults.
	changed chan struct{}
}

func newInjector() *injector {
	return &injector{changed: make(chan struct{}), random: rand.New(rand.NewPCG(0, 0))}
}

// Set replaces the faults and wakes the requests that they hold.
func (i *injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.random = rand.New(rand.NewPCG(f.Seed, 0))
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns the faults as they are now.
func (i *injector) Faults() Faults {
	f, _ := i.get()
	return f
}

func (i *injector) get() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// loses draws whether the next answer is lost.
func (i *injector) loses() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseNext > 0 {
		i.faults.LoseNext--
		return true
	}
	return i.faults.LoseShare > 0 && i.random.Float64() < i.faults.LoseShare
}

// run passes one request through the faults; effect processes it.
func (i *injector) run(ctx context.Context, effect func()) verdict {
	f, v := i.admit(ctx)
	if v != processed {
		return v
	}
	if !f.Paused && f.DelayMS <= 0 {
		effect()
		return i.answer()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.wait()
		effect()
	}()
	select {
	case <-done:
		return i.answer()
	case <-ctx.Done():
		return lost
	}
}

// admit holds or refuses a request as Hang and Down ask.
func (i *injector) admit(ctx context.Context) (Faults, verdict) {
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

// wait lasts as long as Paused, then DelayMS, whatever the sender does. A
// change of faults ends a delay.
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

func (i *injector) answer() verdict {
	if i.loses() {
		return lost
	}
	return processed
}
