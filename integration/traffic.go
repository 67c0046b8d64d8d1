package integration

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/internal/witness"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TrafficOptions is what callers send.
type TrafficOptions struct {
	// Rate is requests a second; 200 if 0.
	Rate float64
	// Bookings is the share with an idempotency key, Repeat the share of
	// those that are sent again, to any host.
	Bookings, Repeat float64
	// Timeout is the deadline of a request; 1 s if 0.
	Timeout time.Duration
	// InFlight bounds the requests that wait for their answer at once, 2048 if
	// 0. One that would exceed it is not sent, so that callers slow down with
	// the machine in place of overloading it.
	InFlight int
	// AllHosts sends to every host, ready or not; otherwise to those that
	// the balancer found ready.
	AllHosts bool
}

// timeout returns the deadline of a request.
func (o TrafficOptions) timeout() time.Duration { return cmp.Or(o.Timeout, time.Second) }

// Traffic is callers that send until Stop.
type Traffic struct {
	site    *Site
	options TrafficOptions
	cancel  context.CancelFunc
	stop    chan struct{}
	ended   chan struct{}
	summary load.Summary
	running sync.WaitGroup

	mu        sync.Mutex
	exchanges []load.Exchange
}

// Callers starts callers. The test must Stop them.
func (s *Site) StartCallers(o TrafficOptions) *Traffic {
	s.callers++
	ctx, cancel := context.WithCancel(context.Background())
	tr := &Traffic{site: s, options: o, cancel: cancel, stop: make(chan struct{}), ended: make(chan struct{})}
	s.t.Cleanup(func() { tr.Stop() })
	config := s.traffic(o)
	config.Seed, config.Observe = uint64(s.callers), tr.observe
	b := newBalancer(s.Hosts)
	config.Targets = b.targets
	if !o.AllHosts {
		tr.running.Go(func() { b.run(s.Hosts, tr.stop) })
	}
	go func() {
		defer close(tr.ended)
		tr.summary = load.Run(ctx, config)
	}()
	return tr
}

// traffic returns what package load is to send.
func (s *Site) traffic(o TrafficOptions) load.Config {
	const (
		usualRate   = 200
		usualFlight = 2048
	)
	if o.Rate == 0 {
		o.Rate = usualRate
	}
	o.Timeout = o.timeout()
	if o.InFlight == 0 {
		o.InFlight = usualFlight
	}
	names := map[string]string{}
	for _, h := range s.Hosts {
		names[h.CallersURL] = h.Name
	}
	return load.Config{
		Service: Service, Path: "/plan",
		Rate:         func(time.Duration) float64 { return o.Rate },
		Duration:     time.Hour,
		BookingShare: o.Bookings, RepeatProbability: o.Repeat, Timeout: o.Timeout, MaxInFlight: o.InFlight,
		Prepare: func(r *http.Request, x load.Exchange) {
			s.Recorder.Add(witness.SentRecord(r, x, names[x.Target]))
		},
	}
}

func (tr *Traffic) observe(x load.Exchange) {
	tr.site.Recorder.Add(witness.AnsweredRecord(x))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.exchanges = append(tr.exchanges, x)
}

// Stop ends the traffic and waits for all answers.
func (tr *Traffic) Stop() load.Summary {
	tr.cancel()
	<-tr.ended
	select {
	case <-tr.stop:
	default:
		close(tr.stop)
	}
	tr.running.Wait()
	return tr.summary
}

// Ended returns the exchanges that have ended so far.
func (tr *Traffic) Ended() []load.Exchange {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.exchanges[:len(tr.exchanges):len(tr.exchanges)]
}

// Await waits until n more requests than now have ended that match.
func (tr *Traffic) Await(what string, n int, match func(load.Exchange) bool) {
	tr.site.t.Helper()
	seen := len(tr.Ended())
	tr.site.WaitUntil(what, func() bool { return Count(tr.Ended()[seen:], match) >= n })
}

// Count returns how many exchanges match.
func Count(exchanges []load.Exchange, match func(load.Exchange) bool) int {
	n := 0
	for _, x := range exchanges {
		if match(x) {
			n++
		}
	}
	return n
}

// Any matches all requests.
func Any(load.Exchange) bool { return true }

// Booking matches requests with an idempotency key.
func Booking(x load.Exchange) bool { return x.Key != "" }

// Call matches requests without one.
func Call(x load.Exchange) bool { return x.Key == "" }

// Repeat matches bookings that were sent again.
func Repeat(x load.Exchange) bool { return x.Retried }

// Answered matches requests that were answered.
func Answered(x load.Exchange) bool { return x.Outcome == outcome.Answered }
