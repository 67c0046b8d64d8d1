package booking

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

const (
	threeHostSeeds = 300
	// lapse is how long a frozen or ended process counts as alive.
	lapse = 4 * time.Second
)

// threeHosts is a site of three entry hosts that get retries of one request.
type threeHosts struct {
	table   *table
	objects *objects
	hosts   []*bookingHost

	mu sync.Mutex
	// runs counts the runs that may have had an effect.
	runs int
}

// bookingHost is one entry host with its current process.
type bookingHost struct {
	site *threeHosts
	name string
	rng  *rand.Rand

	mu          sync.Mutex
	incarnation int
	registry    *Registry
	// thawed is closed while the process runs; frozenAt is when it last stopped.
	thawed   chan struct{}
	frozenAt time.Time
	// endedAt holds when earlier processes ended.
	endedAt map[string]time.Time
}

func (h *bookingHost) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry != nil {
		h.endedAt[h.registry.opt.Incarnation] = time.Now()
	}
	h.incarnation++
	h.registry = New(Options{
		Host: h.name, Incarnation: fmt.Sprint(h.name, h.incarnation), Committer: h, Reader: h.site.table,
		Objects: h.site.objects, Peers: h.site, Alive: h.site.alive, Window: func() time.Duration { return time.Hour },
	})
}

// freeze stops the process until thaw.
func (h *bookingHost) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.thawed, h.frozenAt = make(chan struct{}), time.Now()
}

func (h *bookingHost) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.frozenAt.IsZero() {
		close(h.thawed)
		h.frozenAt = time.Time{}
	}
}

// awaitThaw blocks while the process is frozen.
func (h *bookingHost) awaitThaw() {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	<-thawed
}

func (h *bookingHost) current() *Registry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry
}

// Commit implements Committer with random faults and delays.
func (h *bookingHost) Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult {
	h.mu.Lock()
	wait := time.Duration(1+h.rng.IntN(50)) * time.Millisecond
	f := []fault{noFault, noFault, noFault, noFault, loseAnswer, loseCommit, delay, refuse}[h.rng.IntN(8)]
	h.mu.Unlock()
	<-time.After(wait)
	h.site.mu.Lock()
	h.site.table.faults = []fault{f}
	result := h.site.table.Commit(ctx, conditions, writes)
	h.site.mu.Unlock()
	h.awaitThaw()
	return result
}

// run is the request. It may be not run, run without a known outcome, or
// answered.
func (h *bookingHost) run(context.Context) (Response, outcome.Refusal) {
	h.mu.Lock()
	wait := time.Duration(h.rng.IntN(3000)) * time.Millisecond
	result := h.rng.IntN(4)
	h.mu.Unlock()
	h.awaitThaw()
	if result == 0 {
		return Response{}, notRun("refused", 0)
	}
	h.site.mu.Lock()
	h.site.runs++
	h.site.mu.Unlock()
	<-time.After(wait)
	h.awaitThaw()
	if result == 1 {
		return Response{}, unknownOutcome("no_answer", 0)
	}
	return Response{Status: http.StatusOK, Body: []byte("booked")}, answeredRefusal()
}

// alive reports whether a process's session may still be live: for lapse after
// it ended or froze.
func (s *threeHosts) alive(host, incarnation string, _ uint64) bool {
	for _, h := range s.hosts {
		if h.name != host {
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if ended, ok := h.endedAt[incarnation]; ok {
			return time.Since(ended) < lapse
		}
		return h.frozenAt.IsZero() || time.Since(h.frozenAt) < lapse
	}
	return true
}

// Call implements peer.Transport. A frozen host does not reply.
func (s *threeHosts) Call(ctx context.Context, host string, _ peer.Method, request, reply any) peer.Result {
	for _, h := range s.hosts {
		if h.name != host {
			continue
		}
		h.mu.Lock()
		thawed := h.thawed
		h.mu.Unlock()
		select {
		case <-thawed:
		case <-ctx.Done():
			return peer.Result{Kind: outcome.Unknown}
		}
		got, err := h.current().handleWait(ctx, "", func(v any) error { *v.(*waitRequest) = request.(waitRequest); return nil })
		if err != nil || ctx.Err() != nil {
			return peer.Result{Kind: outcome.Unknown, Err: err}
		}
		*reply.(*waitReply) = got.(waitReply)
		return peer.Result{Kind: outcome.Answered}
	}
	return peer.Result{Kind: outcome.NotRun}
}

// disturb freezes, thaws, replaces or leaves alone a random host, or lets
// delayed commits take effect.
func (s *threeHosts) disturb(rng *rand.Rand) {
	h := s.hosts[rng.IntN(len(s.hosts))]
	switch rng.IntN(5) {
	case 0:
		h.thaw()
		h.freeze()
	case 1:
		h.thaw()
	case 2:
		h.thaw()
		h.start()
	case 3:
		s.table.applyDelayed()
	}
}

// simulateThreeHosts sends retries of one request to three hosts and returns how
// often it ran, and how many callers were told an answer.
func simulateThreeHosts(t *testing.T, seed uint64) (runs, answers int) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := &threeHosts{table: newTable(), objects: &objects{}}
		for i := range 3 {
			running := make(chan struct{})
			close(running)
			h := &bookingHost{site: s, name: string(rune('a' + i)), rng: rand.New(rand.NewPCG(seed, uint64(i+1))), thawed: running, endedAt: map[string]time.Time{}}
			s.hosts = append(s.hosts, h)
			h.start()
		}
		var callers sync.WaitGroup
		for range 20 {
			h := s.hosts[rng.IntN(len(s.hosts))]
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				registry := h.current()
				if _, refusal := registry.Do(ctx, newRequest("x"), h.run); refusal.Kind == outcome.Answered {
					s.mu.Lock()
					answers++
					s.mu.Unlock()
				}
			})
			<-time.After(time.Duration(rng.IntN(3000)) * time.Millisecond)
			s.disturb(rng)
			synctest.Wait()
		}
		for _, h := range s.hosts {
			h.thaw()
		}
		callers.Wait()
		<-time.After(2 * time.Hour)
		runs = s.runs
	})
	return runs, answers
}

// TestThreeHostsRunOnce checks that a request runs at most once, with retries at
// three hosts that freeze, are replaced, and whose commits are lost or late.
func TestThreeHostsRunOnce(t *testing.T) {
	ran, answered := 0, 0
	for seed := range uint64(threeHostSeeds) {
		runs, answers := simulateThreeHosts(t, seed)
		if runs > 1 {
			t.Errorf("seed %d: the request ran %d times", seed, runs)
		}
		ran += runs
		answered += min(answers, 1)
	}
	t.Logf("%d runs in %d simulations, answers in %d", ran, threeHostSeeds, answered)
	if ran < threeHostSeeds/2 || answered == 0 {
		t.Error("too few requests ran: the test has little effect")
	}
}
