package configstore

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// silentTable is a table that answers no read until a time, and each read after it.
type silentTable struct {
	infra.Table
	// timeout bounds a read without an answer, as the platform's client does.
	timeout     time.Duration
	silentUntil time.Time
	inProgress  atomic.Int64
	mostAtATime atomic.Int64
}

// Get implements infra.Table.
func (t *silentTable) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	n := t.inProgress.Add(1)
	defer t.inProgress.Add(-1)
	t.mostAtATime.Store(max(t.mostAtATime.Load(), n))
	if time.Now().Before(t.silentUntil) {
		<-time.After(t.timeout)
		return nil, infra.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

// TestReadWithoutAnswerDelaysNoOther guards against a read whose answer is lost and that
// holds back the next one: once the table answers, the newest version must be in force
// within the interval of the reads.
func TestReadWithoutAnswerDelaysNoOther(t *testing.T) {
	const interval, timeout = time.Second, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store, _ := newStore()
		content, err := settings.MarshalPolicy(settings.Default())
		if err != nil {
			t.Fatal(err)
		}
		if r := store.Apply(t.Context(), Change{Content: content}); r.Status != Accepted {
			t.Fatalf("%+v, want an accepted change", r)
		}
		const silence = 17 * time.Second
		table := &silentTable{Table: store.Table, timeout: timeout, silentUntil: time.Now().Add(silence)}
		store.Table = table
		w := NewWatcher(store, settings.Default(), slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx, interval)
		<-time.After(silence + interval + time.Millisecond)
		if v, ok := w.Version(); !ok || v != 1 {
			t.Errorf("version %d (%v) in force %v after the table's return, want 1", v, ok, interval)
		}
		if most := table.mostAtATime.Load(); most > maxPolls {
			t.Errorf("%d reads at a time, want at most %d", most, maxPolls)
		}
		cancel()
		<-time.After(timeout)
	})
}
