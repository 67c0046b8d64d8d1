package ownerdriver

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

// ErrStopped is returned by methods that need Run after it has returned.
var ErrStopped = errors.New("ownerdriver: not running")

// input is an event for the machine; it runs in the control goroutine.
type input func(now time.Time, m *ownership.Machine) []ownership.Action

// Driver runs the ownership state machine of one entry host, which acquires,
// holds and releases shards. Its methods are safe for concurrent use.
type Driver struct {
	cfg     Config
	machine *ownership.Machine
	inputs  chan input
	// stopped is closed when Run returns.
	stopped chan struct{}
	// handedOver is closed when HandOver has completed.
	handedOver chan struct{}
	snapshot   atomic.Pointer[ownership.Snapshot]
	storeOK    atomic.Bool
	// lastAnswer is when the table last answered. It is used only in the
	// control goroutine.
	lastAnswer time.Time
	stopping   bool

	mu          sync.Mutex
	subscribers []func(*ownership.Snapshot)
}

// New returns a driver and registers its handlers for calls from peers.
func New(cfg Config) *Driver {
	cfg = cfg.withDefaults()
	d := &Driver{
		cfg:        cfg,
		machine:    ownership.New(cfg.machine(), cfg.Now()),
		inputs:     make(chan input),
		stopped:    make(chan struct{}),
		handedOver: make(chan struct{}),
	}
	d.snapshot.Store(d.machine.Snapshot())
	d.registerHandlers()
	return d
}

// Run acquires and holds shards until the context ends. It must be called exactly
// once.
func (d *Driver) Run(ctx context.Context) error {
	defer close(d.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(d.cfg.Lease.Renew.D() / ticksPerRenewal)
	defer ticker.Stop()
	d.lastAnswer = d.cfg.Now()
	for {
		in := input(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case in = <-d.inputs:
		}
		now := d.cfg.Now()
		actions := in(now, d.machine)
		d.publish()
		d.checkTable(now)
		for _, a := range actions {
			d.execute(ctx, a)
		}
		d.signalHandedOver()
	}
}

// tick is the input for elapsed time.
func tick(now time.Time, m *ownership.Machine) []ownership.Action { return m.Tick(now) }

// post passes an input to the control goroutine. It returns false if Run has
// returned.
func (d *Driver) post(in input) bool {
	select {
	case d.inputs <- in:
		return true
	case <-d.stopped:
		return false
	}
}

// SetRoster sets a new roster. It blocks until Run has started.
func (d *Driver) SetRoster(r roster.Roster) {
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action { return m.SetRoster(now, r) })
}

// Snapshot returns the shards that this host holds and the last known owner of
// each shard.
func (d *Driver) Snapshot() *ownership.Snapshot { return d.snapshot.Load() }

// Subscribe registers f to be called in the control goroutine with each new
// snapshot. f must return quickly and must not call methods that wait for Run.
func (d *Driver) Subscribe(f func(*ownership.Snapshot)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

// StoreOK reports whether the table has answered recently.
func (d *Driver) StoreOK() bool { return d.storeOK.Load() }

// HandOver drains all shards and gives them to other hosts; this host takes no
// new ones afterwards. It returns once this host owns nothing, or with the
// context's error. Run must continue until then.
func (d *Driver) HandOver(ctx context.Context) error {
	begin := func(now time.Time, m *ownership.Machine) []ownership.Action {
		d.stopping = true
		return m.HandOver(now)
	}
	if !d.post(begin) {
		return ErrStopped
	}
	select {
	case <-d.handedOver:
		return nil
	case <-d.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "hand over shards")
	}
}

// signalHandedOver wakes HandOver once it is complete.
func (d *Driver) signalHandedOver() {
	if !d.stopping || !d.machine.HandedOver() {
		return
	}
	select {
	case <-d.handedOver:
	default:
		close(d.handedOver)
	}
}

// publish passes a changed snapshot to the subscribers.
func (d *Driver) publish() {
	next := d.machine.Snapshot()
	if next == d.snapshot.Load() {
		return
	}
	d.snapshot.Store(next)
	d.mu.Lock()
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, f := range subscribers {
		f(next)
	}
}

// checkTable logs when the table becomes available or unavailable.
func (d *Driver) checkTable(now time.Time) {
	ok := now.Sub(d.lastAnswer) < 2*d.cfg.Lease.Renew.D()
	if d.storeOK.Swap(ok) == ok {
		return
	}
	if ok {
		event.StoreRecovered.Log(d.cfg.Log)
		return
	}
	event.StoreUnresponsive.Log(d.cfg.Log)
}
