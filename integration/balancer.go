package integration

import (
	"sync"
	"time"
)

// balancer stands for the platform's balancer: it asks each entry host
// whether it is ready, and sends requests to those that are.
type balancer struct {
	mu    sync.Mutex
	ready []string
}

// newBalancer returns one that starts with all hosts.
func newBalancer(hosts []*Host) *balancer {
	b := &balancer{}
	for _, h := range hosts {
		b.ready = append(b.ready, h.CallersURL)
	}
	return b
}

// run asks until stop is closed.
func (b *balancer) run(hosts []*Host, stop <-chan struct{}) {
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		b.ask(hosts)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// ask asks all hosts at once. With none ready it keeps those that it has, as
// a balancer does that would rather send to a doubtful host than to none.
func (b *balancer) ask(hosts []*Host) {
	answers := make([]bool, len(hosts))
	var asking sync.WaitGroup
	for i, h := range hosts {
		asking.Go(func() { answers[i] = h.Ready() })
	}
	asking.Wait()
	var ready []string
	for i, h := range hosts {
		if answers[i] {
			ready = append(ready, h.CallersURL)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ready) > 0 {
		b.ready = ready
	}
}

// targets returns the callers' URLs of the hosts that were ready at last.
func (b *balancer) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}
