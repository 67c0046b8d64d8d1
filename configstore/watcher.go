package configstore

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/settings"
)

// Watcher keeps the newest known configuration in force on this host.
type Watcher struct {
	store   *Store
	local   settings.Settings
	log     *slog.Logger
	current atomic.Pointer[Current]
	// failed is set while the head could not be read at the last try.
	failed   atomic.Bool
	mu       sync.Mutex // serializes replacing current, and subscribers' calls
	onChange []func(Current)
}

// NewWatcher returns a watcher; local is this process's own folder, whose
// policy is in force as version 0 when nothing was ever applied.
func NewWatcher(store *Store, local settings.Settings, log *slog.Logger) *Watcher {
	return &Watcher{store: store, local: local.Clone(), log: log}
}

// Subscribe calls f with a copy of each configuration that comes into force.
// Call it before Run.
func (w *Watcher) Subscribe(f func(Current)) { w.onChange = append(w.onChange, f) }

// Current returns a copy of what is in force; false until the first version was
// read, since a host that guessed could bring back an older configuration. With
// the maps themselves, a reader could bring a change into force that nobody had
// accepted.
func (w *Watcher) Current() (Current, bool) {
	c := w.current.Load()
	if c == nil {
		return Current{}, false
	}
	return c.clone(), true
}

// Version returns the number of the version in force; false until the first
// was read.
func (w *Watcher) Version() (uint64, bool) {
	c := w.current.Load()
	if c == nil {
		return 0, false
	}
	return c.Head.Version, true
}

// inForce returns the settings in force, by this process's own folder until the
// first version was read. They must neither be changed nor leave the package.
// What each call or job asks for is read from them, which spares a copy of all.
func (w *Watcher) inForce() *settings.Settings {
	if c := w.current.Load(); c != nil {
		return &c.Settings
	}
	return &w.local
}

// Service returns what is in force for a service.
func (w *Watcher) Service(name string) settings.Service { return w.inForce().Services[name].Clone() }

// Calls returns the bounds of calls in force.
func (w *Watcher) Calls() settings.Calls { return w.inForce().Calls }

// AcceptsTeam reports whether jobs of a team are taken: it is among the teams in
// force, or there are none.
func (w *Watcher) AcceptsTeam(name string) bool {
	teams := w.inForce().Teams
	_, ok := teams[name]
	return ok || len(teams) == 0
}

// HasEvent reports whether an event of that name is in force.
func (w *Watcher) HasEvent(name string) bool {
	_, ok := w.inForce().Events[name]
	return ok
}

// LastReadFailed reports whether the newest version could not be read at the last
// try. It is false before the first try has ended.
func (w *Watcher) LastReadFailed() bool { return w.failed.Load() }

// Run reads the head at each interval until the context ends.
func (w *Watcher) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		w.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the head once and takes it into force if it is newer.
func (w *Watcher) Poll(ctx context.Context) {
	head, err := w.store.Head(ctx)
	w.failed.Store(err != nil)
	if err != nil || !w.newer(head) {
		return
	}
	content, err := w.store.Content(ctx, head)
	if err != nil {
		w.failed.Store(true)
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", head.Version), slog.Any("error", err))
		return
	}
	w.ApplyIfNewer(Offer{Head: head, Content: content})
}

// Take brings an offered version into force if it is newer than what is. It
// reports whether it was.
func (w *Watcher) ApplyIfNewer(o Offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.newer(o.Head) {
		return false
	}
	next := Current{Head: o.Head, Content: o.Content, Settings: w.local}
	if o.Head.Version > 0 {
		policy, ok := w.read(o)
		if !ok {
			return false
		}
		next.Settings = settings.Compose(w.local, policy)
	}
	w.current.Store(&next)
	event.ConfigApplied.Log(w.log, slog.Uint64("version", o.Head.Version), slog.String("hash", o.Head.Hash))
	for _, f := range w.onChange {
		f(next.clone())
	}
	return true
}

// read parses an offered version and checks it against its hash.
func (w *Watcher) read(o Offer) (settings.Settings, bool) {
	if Hash(o.Content) != o.Head.Hash {
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", o.Head.Version), slog.String("error", "hash differs"))
		return settings.Settings{}, false
	}
	policy, err := settings.ParsePolicy("config", o.Content)
	if err != nil {
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", o.Head.Version), slog.Any("error", err))
		return settings.Settings{}, false
	}
	return policy, true
}

// newer reports whether a head is to replace what is in force.
func (w *Watcher) newer(h Head) bool {
	c := w.current.Load()
	return c == nil || h.Version > c.Head.Version
}
