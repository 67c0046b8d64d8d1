package control

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pipenet"
	"github.com/fireflygate/fireflygate/workload"
)

// storePace is how a store treats requests.
type storePace struct {
	// read is the time of an answer, transaction the time for which a transaction keeps
	// others waiting.
	read, transaction time.Duration
	// lateShare of the transactions is executed later, or not at all if lost is set, and
	// not answered.
	lateShare float64
	lost      bool
}

// usualStore is a store without trouble.
var usualStore = storePace{read: 4 * time.Millisecond, transaction: 5 * time.Millisecond}

// Limits of a pacedStore.
const (
	// maxWaitingTransactions is the number of waiting transactions from which others
	// are refused.
	maxWaitingTransactions = 200
	minLateBy, maxLateBy   = time.Second, 6 * time.Second
)

// pacedStore is a table that executes one transaction at a time, also those whose
// sender has gone, and answers at a pace. A transaction keeps the pace with which it came.
type pacedStore struct {
	*memtable.Table
	mu        sync.Mutex
	rng       *rand.Rand
	pace      storePace
	busyUntil time.Time
	pending   int
	// sent counts transactions.
	sent int
}

// transactions returns the number of transactions sent.
func (s *pacedStore) transactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *pacedStore) setPace(p storePace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = p
}

// waiting returns the number of transactions that aren't executed yet.
func (s *pacedStore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Commit implements infra.Table.
func (s *pacedStore) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	s.mu.Lock()
	s.sent++
	if s.pending >= maxWaitingTransactions {
		s.mu.Unlock()
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	s.pending++
	now := time.Now()
	s.busyUntil = later(s.busyUntil, now).Add(s.pace.transaction)
	executed, late := s.busyUntil, s.rng.Float64() < s.pace.lateShare
	lost := late && s.pace.lost
	if late {
		executed = executed.Add(minLateBy + time.Duration(s.rng.Int64N(int64(maxLateBy-minLateBy))))
	}
	answerTime := s.pace.read
	s.mu.Unlock()
	answer := make(chan infra.CommitResult, 1)
	time.AfterFunc(executed.Sub(now), func() {
		s.mu.Lock()
		s.pending--
		s.mu.Unlock()
		if lost {
			return
		}
		res := s.Table.Commit(context.Background(), tx)
		if !late {
			time.AfterFunc(answerTime, func() { answer <- res })
		}
	})
	select {
	case res := <-answer:
		return res
	case <-ctx.Done():
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Get implements infra.Table.
func (s *pacedStore) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if err := s.awaitHalf(ctx); err != nil {
		return nil, err
	}
	rows, err := s.Table.Get(ctx, keys...)
	return rows, errors.CombineErrors(err, s.awaitHalf(ctx))
}

// Scan implements infra.Table.
func (s *pacedStore) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := errors.CombineErrors(s.awaitHalf(ctx), s.awaitHalf(ctx)); err != nil {
		return nil, err
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// awaitHalf waits for half of the time of an answer.
func (s *pacedStore) awaitHalf(ctx context.Context) error {
	s.mu.Lock()
	wait := s.pace.read / 2
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// domainRig is a domain of real nodes in virtual time, on a store with a pace and on
// connections in memory.
type domainRig struct {
	t         *testing.T
	store     *pacedStore
	rng       *rand.Rand
	nodes     []*rigNode
	seeds     []string
	byAddress map[string]*rigNode
	// parted is set if no host reaches another one.
	parted bool
}

// rigNode is a host of a domainRig.
type rigNode struct {
	*Node
	listener *pipenet.Listener
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// busyUntil is until when the host opens no connection, in Unix nanoseconds.
	busyUntil atomic.Int64
}

// maxSeeds is the number of hosts that every host knows from its settings.
const maxSeeds = 3

// newDomainRig returns a domain of hosts that haven't started.
func newDomainRig(t *testing.T, hosts int, rng *rand.Rand) *domainRig {
	began := time.Now()
	clock := func() time.Duration { return time.Minute + time.Since(began) }
	virtualClock.Store(&clock)
	d := &domainRig{t: t, rng: rng, byAddress: map[string]*rigNode{}}
	d.store = &pacedStore{Table: memtable.New(), rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), pace: usualStore}
	for i := range min(hosts, maxSeeds) {
		d.seeds = append(d.seeds, rigAddress(i))
	}
	for i := range hosts {
		d.addNode(i)
	}
	return d
}

// rigAddress returns the address of a host.
func rigAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// addNode adds a host with a new incarnation.
func (d *domainRig) addNode(i int) *rigNode {
	name := fmt.Sprintf("h%d", i)
	n := &rigNode{listener: pipenet.Listen(), Node: NewNode(Options{
		Host: name, Address: rigAddress(i), Incarnation: fmt.Sprint(name, "-", d.rng.Uint64()), Seeds: d.seeds, Cores: 1,
		Table: d.store, Members: noMembers{}, Log: slog.New(slog.DiscardHandler), Dial: d.dial,
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	})}
	n.SetConfig(Config{Version: 1, Queues: []workload.Queue{{Name: "q", Pool: "pool"}}})
	d.nodes = append(d.nodes, n)
	d.byAddress[rigAddress(i)] = n
	return n
}

// dial opens a connection to a host.
func (d *domainRig) dial(ctx context.Context, _, address string) (net.Conn, error) {
	select {
	case <-time.After(usualRoundTrip):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n := d.byAddress[address]
	if n == nil || n.cancel == nil {
		return nil, errors.Wrap(syscall.ECONNREFUSED, address)
	}
	if d.parted || n.busyUntil.Load() > time.Now().UnixNano() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.listener.Dial(), nil
}

// usualRoundTrip is the time to open a connection.
const usualRoundTrip = 3 * time.Millisecond

// startAll starts all hosts that have no cancel function within a tenth of a second.
func (d *domainRig) startAll() {
	for _, n := range d.nodes {
		if n.cancel != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		delay := time.Duration(d.rng.Int64N(int64(100 * time.Millisecond)))
		n.running.Go(func() { _ = n.Server().Serve(ctx, n.listener) })
		n.running.Go(func() {
			<-time.After(delay)
			n.Run(ctx)
		})
	}
}

// stop ends all hosts.
func (d *domainRig) stop() {
	for _, n := range d.nodes {
		n.cancel()
		_ = n.listener.Close()
		n.client.Close()
	}
	for _, n := range d.nodes {
		n.running.Wait()
	}
	virtualClock.Store(nil)
}

// owner returns the latest epoch in which a host owns the domain, 0 if there is none,
// and the age of that host's last commit.
func (d *domainRig) owner() (epoch uint64, commitAge time.Duration) {
	for _, n := range d.nodes {
		if o, r, _ := n.current(); o != nil && o.ctx.Err() == nil && r.Epoch > epoch {
			epoch, commitAge = r.Epoch, o.commitAge()
		}
	}
	return epoch, commitAge
}

// actingEpoch is owner, but for owners whose commits fail.
func (d *domainRig) actingEpoch() uint64 {
	epoch, age := d.owner()
	if age >= 2*time.Second {
		return 0
	}
	return epoch
}

// loaded reports whether an owner has loaded the state and runs its loop.
func (d *domainRig) loaded() bool {
	for _, n := range d.nodes {
		if o, _, _ := n.current(); o != nil && o.ctx.Err() == nil && o.cycleAt.Load() > int64(o.ownedSince) {
			return true
		}
	}
	return false
}

// epoch returns the latest epoch of an owner, 0 if there is none.
func (d *domainRig) epoch() uint64 {
	epoch, _ := d.owner()
	return epoch
}

// storeLostOwner stores the row of an owner that no longer exists.
func (d *domainRig) storeLostOwner() {
	row := election.Record{Host: "lost", Address: "10.9.0.1:1", Incarnation: "lost", Epoch: 1, Cores: 1, Hosts: len(d.nodes)}
	value, err := row.Encode()
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put(election.OwnerKey, value)
}
