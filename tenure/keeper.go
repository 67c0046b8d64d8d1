package tenure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/roster"
)

// ErrStopped is returned when the Keeper no longer runs.
var ErrStopped = errors.New("tenure: not running")

// input is something that happens to the machine; it runs in the control
// goroutine.
type input func(now time.Time, m *ownership.Machine) []ownership.Action

// Driver holds this host's shards. Its methods are safe for concurrent use.
type Driver struct {
	cfg     Config
	machine *ownership.Machine
	inputs  chan input
	// stopped closes when Run returns.
	stopped chan struct{}
	// handedOver closes when a planned stop is complete.
	handedOver chan struct{}
	view       atomic.Pointer[ownership.Snapshot]
	storeOK    atomic.Bool
	// lastAnswer is when the table last answered, in the control goroutine.
	lastAnswer time.Time
	stopping   bool

	mu          sync.Mutex
	subscribers []func(*ownership.Snapshot)
}

// New returns a keeper and registers its handlers for peers' requests.
func New(cfg Config) *Driver {
	cfg = cfg.withDefaults()
	k := &Driver{
		cfg:        cfg,
		machine:    ownership.New(cfg.machine(), cfg.Now()),
		inputs:     make(chan input),
		stopped:    make(chan struct{}),
		handedOver: make(chan struct{}),
	}
	k.view.Store(k.machine.Snapshot())
	k.handlePeers()
	return k
}

// Run holds shards until the context ends. It must be called once.
func (k *Driver) Run(ctx context.Context) error {
	defer close(k.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(k.cfg.Lease.Renew.D() / ticksPerRenewal)
	defer ticker.Stop()
	k.lastAnswer = k.cfg.Now()
	for {
		in := input(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case in = <-k.inputs:
		}
		now := k.cfg.Now()
		actions := in(now, k.machine)
		k.publish()
		k.judgeStore(now)
		for _, a := range actions {
			k.execute(ctx, a)
		}
		k.noteHandedOver()
	}
}

// tick is the input of time passing.
func tick(now time.Time, m *ownership.Machine) []ownership.Action { return m.Tick(now) }

// post hands an input to the control goroutine; false when that is gone.
func (k *Driver) post(in input) bool {
	select {
	case k.inputs <- in:
		return true
	case <-k.stopped:
		return false
	}
}

// SetRoster takes a new roster in. It waits for Run to have begun.
func (k *Driver) SetRoster(r roster.Roster) {
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action { return m.SetRoster(now, r) })
}

// Snapshot returns what this host holds, and who owns what, as last known.
func (k *Driver) Snapshot() *ownership.Snapshot { return k.view.Load() }

// Subscribe calls f, in the control goroutine, with each new view. It must
// return fast and call no method that waits for Run.
func (k *Driver) Subscribe(f func(*ownership.Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, f)
}

// StoreOK reports whether the table answered lately.
func (k *Driver) StoreOK() bool { return k.storeOK.Load() }

// HandOver gives every shard to other hosts after draining it, and takes none
// any more. It returns once this host owns nothing, or with the context's
// error; Run must go on until then.
func (k *Driver) HandOver(ctx context.Context) error {
	begin := func(now time.Time, m *ownership.Machine) []ownership.Action {
		k.stopping = true
		return m.HandOver(now)
	}
	if !k.post(begin) {
		return ErrStopped
	}
	select {
	case <-k.handedOver:
		return nil
	case <-k.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "hand over")
	}
}

// noteHandedOver tells HandOver when it is complete.
func (k *Driver) noteHandedOver() {
	if !k.stopping || !k.machine.HandedOver() {
		return
	}
	select {
	case <-k.handedOver:
	default:
		close(k.handedOver)
	}
}

// publish passes a new view on.
func (k *Driver) publish() {
	v := k.machine.Snapshot()
	if v == k.view.Load() {
		return
	}
	k.view.Store(v)
	k.mu.Lock()
	subscribers := k.subscribers
	k.mu.Unlock()
	for _, f := range subscribers {
		f(v)
	}
}

// judgeStore notes whether the table answers.
func (k *Driver) judgeStore(now time.Time) {
	ok := now.Sub(k.lastAnswer) < 2*k.cfg.Lease.Renew.D()
	if k.storeOK.Swap(ok) == ok {
		return
	}
	if ok {
		event.StoreBack.Log(k.cfg.Log)
		return
	}
	event.StoreLost.Log(k.cfg.Log)
}
