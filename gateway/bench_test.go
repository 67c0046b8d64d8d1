package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// serve returns the handler of a stub endpoint, which waits for work and sends
// a short answer.
func serve(work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if work > 0 {
			<-time.After(work)
		}
		_, _ = io.WriteString(w, "ok")
	}
}

// latencies makes b.N calls from several concurrent callers and returns their
// latencies in microseconds.
func latencies(b *testing.B, callers int, call func()) *hdrhistogram.Histogram {
	b.Helper()
	var mu sync.Mutex
	all := newHistogram()
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			own := newHistogram()
			for left.Add(-1) >= 0 {
				start := time.Now()
				call()
				_ = own.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	group.Wait()
	return all
}

// BenchmarkAddedLatency measures the latency that the gateway adds to a direct
// call, without and with a forward, at half the load of one endpoint with 8
// slots and 1 ms of work.
func BenchmarkAddedLatency(b *testing.B) {
	const callerCount = 4
	e := endpoint(b, "e1", 8, serve(time.Millisecond))
	n := peernet.New()
	owner, other := newHost(b, n, "a", nil), newHost(b, n, "b", nil)
	for _, h := range []*host{owner, other} {
		h.SetEndpoints([]routing.Endpoint{e})
	}
	owner.grants.set(ownership.Full, "e1")
	owner.SetPeers([]PeerHost{{Name: "b", Zone: "z1"}})
	stop := runDigests(b, owner)
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
	fetch := func(url string) func() {
		return func() {
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
			}
		}
	}
	path := "/call/" + testService + "/"
	ownURL, otherURL := startServer(b, owner.Gateway)+path, startServer(b, other.Gateway)+path
	b.ResetTimer()
	direct := latencies(b, callerCount, fetch("http://"+e.Address+"/"))
	local := latencies(b, callerCount, fetch(ownURL))
	forwarded := latencies(b, callerCount, fetch(otherURL))
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		base := direct.ValueAtQuantile(q.at)
		b.ReportMetric(float64(base), "direct-"+q.name+"-us")
		b.ReportMetric(float64(local.ValueAtQuantile(q.at)-base), "added-"+q.name+"-us")
		b.ReportMetric(float64(forwarded.ValueAtQuantile(q.at)-base), "added-forward-"+q.name+"-us")
	}
}

// runDigests runs a host's background work, which sends its digests, until
// stop is called.
func runDigests(b *testing.B, h *host) (stop func()) {
	b.Helper()
	flushDigests(b, h)
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = h.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// BenchmarkCall measures the cost of one call within the process, including
// the stub endpoint and its connections.
func BenchmarkCall(b *testing.B) {
	h := newSingleEndpointHost(b, 64, serve(0), nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, r := h.Call(b.Context(), post("x"))
			if r.Kind != outcome.Answered {
				b.Errorf("got %+v, want answered", r)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	})
}

// BenchmarkDirect measures the same calls without the gateway.
func BenchmarkDirect(b *testing.B) {
	e := endpoint(b, "e1", 64, serve(0))
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+e.Address+"/", strings.NewReader("x"))
			resp, err := transport.RoundTrip(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}

// BenchmarkOverload sends requests with a timeout of 200 ms at a fixed rate to
// two endpoints with 8 slots and 10 ms of work each, whose capacity is 1600
// requests per second.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 1, 1.5, 3} {
		b.Run(strconv.FormatFloat(load, 'f', 1, 64)+"x", func(b *testing.B) {
			for range b.N {
				overload(b, load)
			}
		})
	}
}

func overload(b *testing.B, load float64) {
	b.Helper()
	const slots, work, capacity, seconds = 8, 10 * time.Millisecond, 1600.0, 3.0
	var overrun atomic.Int64
	h := newHost(b, nil, "a", nil)
	var list []routing.Endpoint
	for _, name := range []string{"e1", "e2"} {
		var running atomic.Int64
		list = append(list, endpoint(b, name, slots, func(w http.ResponseWriter, r *http.Request) {
			if running.Add(1) > slots {
				overrun.Add(1)
			}
			serve(work)(w, r)
			running.Add(-1)
		}))
	}
	h.SetEndpoints(list)
	h.grants.set(ownership.Full, "e1", "e2")
	var mu sync.Mutex
	good, refused, failed := newHistogram(), newHistogram(), 0
	var group sync.WaitGroup
	total := int(capacity * load * seconds)
	begin := time.Now()
	for i := range total {
		due := begin.Add(time.Duration(float64(i) / (capacity * load) * float64(time.Second)))
		<-time.After(time.Until(due))
		group.Go(func() {
			req := post("x")
			start := time.Now()
			req.Deadline = start.Add(200 * time.Millisecond)
			_, r := h.Call(b.Context(), req)
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.Kind == outcome.Answered && took <= 200*time.Millisecond:
				_ = good.RecordValue(took.Microseconds())
			case r.Kind == outcome.NotRun:
				_ = refused.RecordValue(took.Microseconds())
			default:
				failed++
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(good.TotalCount())/capacity/time.Since(begin).Seconds(), "goodput/capacity")
	b.ReportMetric(float64(good.ValueAtQuantile(99))/1000, "answer-p99-ms")
	b.ReportMetric(float64(refused.TotalCount())/float64(total), "refused/request")
	b.ReportMetric(float64(refused.ValueAtQuantile(99))/1000, "refusal-p99-ms")
	b.ReportMetric(float64(failed), "late-or-unknown")
	b.ReportMetric(float64(overrun.Load()), "overrun")
}
