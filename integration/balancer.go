package integration

import (
	"sync"
	"time"
)

// balancer simulates the platform's load balancer, which polls the readiness of
// the entry hosts and sends requests only to ready hosts.
type balancer struct {
	mu    sync.Mutex
	ready []string
}

// newBalancer returns a balancer that considers all hosts ready until its first
// poll.
func newBalancer(hosts []*Host) *balancer {
	b := &balancer{}
	for _, h := range hosts {
		b.ready = append(b.ready, h.CallersURL)
	}
	return b
}

// run polls the hosts until stop is closed.
func (b *balancer) run(hosts []*Host, stop <-chan struct{}) {
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		b.poll(hosts)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// poll polls all hosts concurrently. If none is ready, the previous list of ready
// hosts stays.
func (b *balancer) poll(hosts []*Host) {
	answers := make([]bool, len(hosts))
	var probes sync.WaitGroup
	for i, h := range hosts {
		probes.Go(func() { answers[i] = h.Ready() })
	}
	probes.Wait()
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

// targets returns the callers' URLs of the hosts that were ready at the last poll.
func (b *balancer) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}
