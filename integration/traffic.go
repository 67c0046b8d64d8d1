package integration

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/internal/histories"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TrafficOptions describes the requests that callers send.
type TrafficOptions struct {
	// Rate is the number of requests per second; 200 if 0.
	Rate float64
	// Bookings is the share of requests with an idempotency key. Repeat is the
	// share of bookings that are resent, to any host.
	Bookings, Repeat float64
	// Timeout limits each request; 1 s if 0.
	Timeout time.Duration
	// InFlight limits the requests in flight; 2048 if 0. Requests above the limit
	// are not sent, so that callers don't overload a slow machine.
	InFlight int
	// AllHosts sends requests to all hosts instead of those that are ready.
	AllHosts bool
}

func (o TrafficOptions) timeout() time.Duration { return cmp.Or(o.Timeout, time.Second) }

// Traffic is a group of callers that send requests until Stop.
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

// StartCallers starts callers that send requests until Stop or the end of the test.
func (s *Site) StartCallers(o TrafficOptions) *Traffic {
	s.callers++
	ctx, cancel := context.WithCancel(context.Background())
	tr := &Traffic{site: s, options: o, cancel: cancel, stop: make(chan struct{}), ended: make(chan struct{})}
	s.t.Cleanup(func() { tr.Stop() })
	config := s.loadConfig(o)
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

// loadConfig returns the configuration of package load for the given options.
func (s *Site) loadConfig(o TrafficOptions) load.Config {
	const (
		defaultRate     = 200
		defaultInFlight = 2048
	)
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	o.Timeout = o.timeout()
	if o.InFlight == 0 {
		o.InFlight = defaultInFlight
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
			s.Recorder.Add(histories.SentRecord(r, x, names[x.Target]))
		},
	}
}

func (tr *Traffic) observe(x load.Exchange) {
	tr.site.Recorder.Add(histories.AnsweredRecord(x))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.exchanges = append(tr.exchanges, x)
}

// Stop stops sending and waits until all requests in flight have ended. It may be
// called more than once.
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

// Await waits until n more requests that match have ended.
func (tr *Traffic) Await(description string, n int, match func(load.Exchange) bool) {
	tr.site.t.Helper()
	first := len(tr.Ended())
	tr.site.WaitUntil(description, func() bool { return Count(tr.Ended()[first:], match) >= n })
}

// Count returns the number of exchanges that match.
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

// Call matches requests without an idempotency key.
func Call(x load.Exchange) bool { return x.Key == "" }

// Repeat matches bookings that were resent.
func Repeat(x load.Exchange) bool { return x.Retried }

// Answered matches requests that were answered.
func Answered(x load.Exchange) bool { return x.Outcome == outcome.Answered }
