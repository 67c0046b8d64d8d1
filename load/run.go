package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/internal/standstill"
)

// runner sends one Config's traffic.
type runner struct {
	config Config
	client *http.Client
	mu     sync.Mutex // guards tally
	tally  *tally
	wg     sync.WaitGroup
	slots  chan struct{}
}

// Run sends the traffic and waits for every answer.
func Run(ctx context.Context, c Config) Summary {
	r := &runner{
		config: c,
		client: newClient(c),
		tally:  newTally(),
		slots:  make(chan struct{}, c.MaxInFlight),
	}
	r.send(ctx)
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return r.tally.result()
}

func newClient(c Config) *http.Client {
	// A margin over the deadline, so that the entry host's own answer at the
	// deadline is seen rather than our timeout.
	const margin = 2 * time.Second
	transport := &http.Transport{MaxIdleConns: c.MaxInFlight, MaxIdleConnsPerHost: c.MaxInFlight}
	return &http.Client{Transport: transport, Timeout: c.Timeout + margin}
}

// send starts each request when it is due; gaps are exponential.
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

// planned is a request that is due, with the target it goes to.
type planned struct {
	exchange Exchange
	target   string
	// repeat is set to send it a second time, to the target that pick draws
	// from those there are by then.
	repeat bool
	pick   int
}

func (r *runner) request(n int, rng *rand.Rand, due time.Time) planned {
	targets := r.config.Targets()
	id := fmt.Sprintf("%d-%d", r.config.Seed, n)
	p := planned{
		exchange: Exchange{ID: id, Due: due},
		target:   targets[n%len(targets)],
	}
	if rng.Float64() < r.config.BookingShare {
		p.exchange.Key = "booking-" + id
		p.exchange.Body = []byte(id)
		if rng.Float64() < r.config.RepeatProbability {
			p.repeat, p.pick = true, rng.Int()
		}
	}
	return p
}

// mostLate is how long after it was due a request may be sent. The sender is
// that late only where it stood still itself; what callers would have sent
// meanwhile must not come as one burst.
const mostLate = standstill.MinPause

// launch sends a request without waiting for earlier ones.
func (r *runner) launch(ctx context.Context, p planned) {
	if time.Since(p.exchange.Due) >= mostLate {
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
			again := p.exchange
			again.Retried = true
			again.ID += "-again"
			again.Due = time.Now()
			targets := r.config.Targets()
			r.finish(r.do(ctx, again, targets[p.pick%len(targets)]))
		}
	}()
}

// skip counts a request that is not sent.
func (r *runner) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.summary.Skipped++
}

func (r *runner) finish(x Exchange) {
	r.mu.Lock()
	r.tally.add(x)
	r.mu.Unlock()
	if r.config.Observe != nil {
		r.config.Observe(x)
	}
}

// do sends one request and reads its whole answer.
func (r *runner) do(ctx context.Context, x Exchange, target string) Exchange {
	return Send(ctx, r.client, r.config, x, target)
}
