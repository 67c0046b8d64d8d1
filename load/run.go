package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/internal/processpause"
)

// runner sends the traffic of one Config.
type runner struct {
	config     Config
	client     *http.Client
	mu         sync.Mutex // guards summarizer
	summarizer *summarizer
	wg         sync.WaitGroup
	slots      chan struct{}
}

// Run sends the traffic, waits for all responses and returns the summary. When
// ctx ends it sends no more requests.
func Run(ctx context.Context, c Config) Summary {
	r := &runner{
		config:     c,
		client:     newClient(c),
		summarizer: newSummarizer(),
		slots:      make(chan struct{}, c.MaxInFlight),
	}
	r.send(ctx)
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return r.summarizer.result()
}

func newClient(c Config) *http.Client {
	// The client waits longer than the deadline, so that it receives the entry
	// host's response at the deadline.
	const margin = 2 * time.Second
	transport := &http.Transport{MaxIdleConns: c.MaxInFlight, MaxIdleConnsPerHost: c.MaxInFlight}
	return &http.Client{Transport: transport, Timeout: c.Timeout + margin}
}

// send launches each request when it is due. Intervals are exponentially
// distributed.
func (r *runner) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.config.Seed, 0))
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	since := time.Duration(0)
	for n := 0; ; n++ {
		rate := r.config.Rate(since)
		since += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if since >= r.config.Duration {
			return
		}
		timer.Reset(time.Until(start.Add(since)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r.launch(ctx, r.request(n, rng, start.Add(since)))
	}
}

// plannedRequest is a request to be sent to target.
type plannedRequest struct {
	exchange Exchange
	target   string
	// If repeat is set, the request is sent a second time. targetPick, a random
	// number, selects one of the targets at that time.
	repeat     bool
	targetPick int
}

func (r *runner) request(n int, rng *rand.Rand, due time.Time) plannedRequest {
	targets := r.config.Targets()
	id := fmt.Sprintf("%d-%d", r.config.Seed, n)
	p := plannedRequest{
		exchange: Exchange{ID: id, Due: due},
		target:   targets[n%len(targets)],
	}
	if rng.Float64() < r.config.BookingShare {
		p.exchange.Key = "booking-" + id
		p.exchange.Body = []byte(id)
		if rng.Float64() < r.config.RepeatProbability {
			p.repeat, p.targetPick = true, rng.Int()
		}
	}
	return p
}

// maxLateness is how long after it was due a request may be sent. Later ones are
// skipped, so that a pause of the sender isn't followed by a burst of overdue
// requests.
const maxLateness = processpause.MinPause

// launch sends a request in the background, or skips it.
func (r *runner) launch(ctx context.Context, p plannedRequest) {
	if time.Since(p.exchange.Due) >= maxLateness {
		r.skip()
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.skip()
		return
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer func() { <-r.slots }()
		r.finish(r.do(ctx, p.exchange, p.target))
		if p.repeat {
			repeated := p.exchange
			repeated.Retried = true
			repeated.ID += "-again"
			repeated.Due = time.Now()
			targets := r.config.Targets()
			r.finish(r.do(ctx, repeated, targets[p.targetPick%len(targets)]))
		}
	}()
}

// skip counts a skipped request.
func (r *runner) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summarizer.summary.Skipped++
}

func (r *runner) finish(x Exchange) {
	r.mu.Lock()
	r.summarizer.add(x)
	r.mu.Unlock()
	if r.config.Observe != nil {
		r.config.Observe(x)
	}
}

func (r *runner) do(ctx context.Context, x Exchange, target string) Exchange {
	return Send(ctx, r.client, r.config, x, target)
}
