package configstore

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/configsync"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/settings"
)

// Watcher keeps the newest known configuration in force on this host.
type Watcher struct {
	store   *Store
	local   settings.Settings
	log     *slog.Logger
	current atomic.Pointer[Current]
	// readFailed is set if the last read of the newest version failed.
	readFailed atomic.Bool
	// parsed is the policy parsed last.
	parsed      atomic.Pointer[parsedPolicy]
	receiver    Receiver
	mu          sync.Mutex // serializes changes of current and calls of subscribers
	subscribers []func(Current)
}

// NewWatcher returns a watcher that puts each version into force as soon as it is read.
// local is this process's own settings; their
// policy is in force as version 0 until a configuration is applied.
func NewWatcher(store *Store, local settings.Settings, log *slog.Logger) *Watcher {
	w := &Watcher{store: store, local: local.Clone(), log: log}
	w.receiver = atOnce{w}
	return w
}

// Subscribe calls f with a copy of each configuration that is applied. It must be
// called before Run.
func (w *Watcher) Subscribe(f func(Current)) { w.subscribers = append(w.subscribers, f) }

// SetReceiver sets what decides when a version that was read is put into force. It must
// be called before Run.
func (w *Watcher) SetReceiver(r Receiver) { w.receiver = r }

// Current returns a copy of the configuration in force; false until the first
// version was read, since this process's own policy may be older than it.
func (w *Watcher) Current() (Current, bool) {
	c := w.current.Load()
	if c == nil {
		return Current{}, false
	}
	return c.clone(), true
}

// Version returns the version in force; false until the first one was read.
func (w *Watcher) Version() (uint64, bool) {
	c := w.current.Load()
	if c == nil {
		return 0, false
	}
	return c.Head.Version, true
}

// shared returns the settings in force without a copy, or this process's own
// settings until the first version was read. Callers must not modify them or
// return references to them.
func (w *Watcher) shared() *settings.Settings {
	if c := w.current.Load(); c != nil {
		return &c.Settings
	}
	return &w.local
}

// Service returns a copy of the settings of a service.
func (w *Watcher) Service(name string) settings.Service { return w.shared().Services[name].Clone() }

// Calls returns the settings of interactive requests.
func (w *Watcher) Calls() settings.Calls { return w.shared().Calls }

// AcceptsTeam reports whether jobs of a team are accepted: the settings name the
// team, or they name none.
func (w *Watcher) AcceptsTeam(name string) bool {
	teams := w.shared().Teams
	_, ok := teams[name]
	return ok || len(teams) == 0
}

// HasEvent reports whether the settings have an event of that name.
func (w *Watcher) HasEvent(name string) bool {
	_, ok := w.shared().Events[name]
	return ok
}

// LastReadFailed reports whether the last read of the newest version failed. It is
// false before the first read has ended.
func (w *Watcher) LastReadFailed() bool { return w.readFailed.Load() }

// maxPolls is the largest number of polls in progress at a time.
const maxPolls = 8

// Run polls the store at each interval until ctx ends. A poll whose answer is lost
// doesn't delay the next ones; while maxPolls are in progress no other begins.
func (w *Watcher) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	polls := make(chan struct{}, maxPolls)
	for {
		select {
		case polls <- struct{}{}:
			go func() {
				w.Poll(ctx)
				<-polls
			}()
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the newest version once and passes it to the receiver if it is newer than
// the one held. It records whether the read failed for LastReadFailed.
func (w *Watcher) Poll(ctx context.Context) {
	head, confirmed, err := w.store.Newest(ctx)
	w.readFailed.Store(err != nil)
	if err != nil {
		return
	}
	w.receiver.Accepted(head.Version)
	w.receiver.Confirmed(confirmed.Version)
	w.readContent(ctx, head)
	w.recordConfirmed(ctx, confirmed)
}

// readContent reads the content of a version that is newer than the one held, and passes
// it to the receiver.
func (w *Watcher) readContent(ctx context.Context, head Head) {
	if held, known := w.receiver.Held(); !configsync.Newer(head.Version, held, known) {
		return
	}
	content, err := w.store.Content(ctx, head)
	if err != nil {
		w.readFailed.Store(true)
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", head.Version), slog.Any("error", err))
		return
	}
	w.receiver.Hold(Offer{Head: head, Content: content})
}

// recordConfirmed tells the store which version most hosts have held, if this host is to
// tell it. A later poll tries again if this one fails.
func (w *Watcher) recordConfirmed(ctx context.Context, read Confirmed) {
	if version, ok := w.receiver.ToRecord(read.Version); ok {
		w.store.Confirm(ctx, version, read)
	}
}

// Valid reports whether a configuration can be put into force. It logs why not.
func (w *Watcher) Valid(o Offer) bool {
	if o.Head.Version == 0 {
		return true
	}
	_, ok := w.parse(o)
	return ok
}

// ApplyIfNewer puts an offered version into force if it is valid and newer than
// the one in force, and calls all subscribers before it returns. It reports
// whether the version was applied.
func (w *Watcher) ApplyIfNewer(o Offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.newer(o.Head) {
		return false
	}
	next := Current{Head: o.Head, Content: o.Content, Settings: w.local}
	if o.Head.Version > 0 {
		policy, ok := w.parse(o)
		if !ok {
			return false
		}
		next.Settings = settings.Compose(w.local, policy)
	}
	w.current.Store(&next)
	event.ConfigApplied.Log(w.log, slog.Uint64("version", o.Head.Version), slog.String("hash", o.Head.Hash), slog.String("from", o.From))
	for _, f := range w.subscribers {
		f(next.clone())
	}
	return true
}

// parse verifies the hash of an offered version and parses it. It logs errors. A version
// is checked when it is taken and parsed again when it is put into force, so the policy
// parsed last is kept.
func (w *Watcher) parse(o Offer) (settings.Settings, bool) {
	hash := Hash(o.Content)
	if hash != o.Head.Hash {
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", o.Head.Version), slog.String("error", "hash differs"))
		return settings.Settings{}, false
	}
	if last := w.parsed.Load(); last != nil && last.hash == hash {
		return last.policy.Clone(), true
	}
	policy, err := settings.ParsePolicy("config", o.Content)
	if err != nil {
		event.ConfigUnreadable.Log(w.log, slog.Uint64("version", o.Head.Version), slog.Any("error", err))
		return settings.Settings{}, false
	}
	w.parsed.Store(&parsedPolicy{hash: hash, policy: policy.Clone()})
	return policy, true
}

// newer reports whether a version is newer than the one in force.
func (w *Watcher) newer(h Head) bool {
	version, known := w.Version()
	return configsync.Newer(h.Version, version, known)
}
