package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// The endpoints and hosts of a burst, in which the request rate rises by
// burstFactor for one second.
const (
	burstHosts     = 8
	burstEndpoints = 24
	burstSlots     = 8
	burstWork      = 30 * time.Millisecond
	burstFactor    = 10
	burstCapacity  = burstEndpoints * burstSlots * float64(time.Second/burstWork)
	burstTimeout   = 2 * time.Second
)

// burstSite is the endpoints of a burst. Each works on burstSlots requests at
// a time and queues the others.
type burstSite struct {
	list    []routing.Endpoint
	overrun atomic.Int64
}

func newBurstSite(b *testing.B) *burstSite {
	s := &burstSite{}
	for i := range burstEndpoints {
		var running atomic.Int64
		slots := make(chan struct{}, burstSlots)
		s.list = append(s.list, endpoint(b, "e"+strconv.Itoa(i), burstSlots, func(w http.ResponseWriter, r *http.Request) {
			if running.Add(1) > burstSlots {
				s.overrun.Add(1)
			}
			slots <- struct{}{}
			serve(time.Duration((0.5+rand.Float64())*float64(burstWork)))(w, r)
			<-slots
			running.Add(-1)
		}))
	}
	return s
}

// burstCase is the load of a burst and its distribution over hosts.
type burstCase struct {
	name string
	// load is the burst's rate as a fraction of the total capacity.
	load float64
	// skew is the fraction of requests sent to a single host; the rest is
	// spread evenly.
	skew float64
}

// strategy serves one request that arrived at a host.
type strategy func(ctx context.Context, host int) outcome.Kind

// BenchmarkBurst compares the p99 latency during a burst with strategies that
// share no state between hosts: a random endpoint, slots divided among hosts,
// and round robin over the host's own endpoints.
func BenchmarkBurst(b *testing.B) {
	for _, c := range []burstCase{{"even", 0.75, 0}, {"full", 0.95, 0}, {"skewed", 0.75, 0.2}} {
		for _, s := range []struct {
			name  string
			build func(*testing.B, *burstSite) strategy
		}{
			{"fireflygate", burstGateways}, {"random", burstRandom}, {"split", burstSplit}, {"roundrobin", burstRoundRobin},
		} {
			b.Run(c.name+"/"+s.name, func(b *testing.B) {
				for range b.N {
					site := newBurstSite(b)
					runBurst(b, c, site, s.build(b, site))
				}
			})
		}
	}
}

func runBurst(b *testing.B, c burstCase, site *burstSite, serve strategy) {
	var mu sync.Mutex
	calm, burst, lost := newHistogram(), newHistogram(), 0
	var group sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 0))
	begin := time.Now()
	for at := time.Duration(0); at < 2*time.Second; {
		rate, into := burstCapacity*c.load/burstFactor, calm
		if at >= time.Second {
			rate, into = burstCapacity*c.load, burst
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		due := begin.Add(at)
		<-time.After(time.Until(due))
		host := rng.IntN(burstHosts)
		if rng.Float64() < c.skew {
			host = 0
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(b.Context(), burstTimeout)
			defer cancel()
			kind := serve(ctx, host)
			mu.Lock()
			defer mu.Unlock()
			if kind == outcome.Answered {
				_ = into.RecordValue(time.Since(due).Microseconds())
				return
			}
			lost++
		})
	}
	group.Wait()
	reportBurst(b, calm, burst, lost, site)
}

func reportBurst(b *testing.B, calm, burst *hdrhistogram.Histogram, lost int, site *burstSite) {
	b.ReportMetric(float64(calm.ValueAtQuantile(99))/1000, "calm-p99-ms")
	b.ReportMetric(float64(burst.ValueAtQuantile(50))/1000, "burst-p50-ms")
	b.ReportMetric(float64(burst.ValueAtQuantile(99))/1000, "burst-p99-ms")
	b.ReportMetric(float64(lost), "unanswered")
	b.ReportMetric(float64(site.overrun.Load()), "overrun")
}

// burstGateways serves requests with gateways, each of which owns a part of
// the endpoints.
func burstGateways(b *testing.B, site *burstSite) strategy {
	n := peernet.New()
	hosts := make([]*host, burstHosts)
	var peers []PeerHost
	for i := range hosts {
		name := "h" + strconv.Itoa(i)
		hosts[i] = newHost(b, n, name, func(o *Options) { o.Seed = uint64(i) })
		peers = append(peers, PeerHost{Name: name, Zone: "z1"})
	}
	for i, h := range hosts {
		var own []string
		for j := i; j < burstEndpoints; j += burstHosts {
			own = append(own, site.list[j].Shard)
		}
		h.SetEndpoints(site.list)
		h.grants.set(ownership.Full, own...)
		h.SetPeers(append(append([]PeerHost{}, peers[:i]...), peers[i+1:]...))
	}
	for _, h := range hosts {
		b.Cleanup(runDigests(b, h))
	}
	return func(ctx context.Context, host int) outcome.Kind {
		req := get("/")
		req.Deadline = time.Now().Add(burstTimeout)
		resp, refusal := hosts[host].Call(ctx, req)
		if resp != nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return refusal.Kind
	}
}

// fetch sends a request directly to an endpoint.
func (s *burstSite) fetch(ctx context.Context, client *http.Client, endpoint int) outcome.Kind {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.list[endpoint].Address+"/", nil)
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome.Unknown
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return outcome.Answered
}

func burstClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
}

// burstRandom sends each request to a random endpoint without waiting.
func burstRandom(_ *testing.B, site *burstSite) strategy {
	client := burstClient()
	return func(ctx context.Context, _ int) outcome.Kind {
		return site.fetch(ctx, client, rand.IntN(burstEndpoints))
	}
}

// burstSplit gives each host one slot of each endpoint. A request waits at its
// host for a free slot.
func burstSplit(_ *testing.B, site *burstSite) strategy {
	client := burstClient()
	free := make([]chan int, burstHosts)
	for h := range free {
		free[h] = make(chan int, burstEndpoints)
		for _, e := range rand.Perm(burstEndpoints) {
			free[h] <- e
		}
	}
	return func(ctx context.Context, host int) outcome.Kind {
		select {
		case e := <-free[host]:
			defer func() { free[host] <- e }()
			return site.fetch(ctx, client, e)
		case <-ctx.Done():
			return outcome.NotRun
		}
	}
}

// burstRoundRobin cycles through the host's own endpoints without forwarding.
func burstRoundRobin(_ *testing.B, site *burstSite) strategy {
	client := burstClient()
	next := make([]atomic.Int64, burstHosts)
	free := make([]chan struct{}, burstEndpoints)
	for e := range free {
		free[e] = make(chan struct{}, burstSlots)
	}
	return func(ctx context.Context, host int) outcome.Kind {
		own := burstEndpoints / burstHosts
		e := host + burstHosts*int(next[host].Add(1)%int64(own))
		select {
		case free[e] <- struct{}{}:
			defer func() { <-free[e] }()
			return site.fetch(ctx, client, e)
		case <-ctx.Done():
			return outcome.NotRun
		}
	}
}
