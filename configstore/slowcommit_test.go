package configstore

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// slowCommitTable is a table whose commits last as long as their context.
type slowCommitTable struct{ infra.Table }

// Commit implements infra.Table.
func (slowCommitTable) Commit(ctx context.Context, _ infra.Transaction) infra.CommitResult {
	<-ctx.Done()
	return infra.CommitResult{Status: infra.CommitUnknown}
}

// recorder is a Receiver that has something to record in the store at each read.
type recorder struct{ atOnce }

// ToRecord implements Receiver.
func (recorder) ToRecord(recorded uint64) (uint64, bool) { return recorded + 1, true }

// TestSlowCommitDelaysNoVersion guards against a version that is read late because the
// store is slow to record which one most hosts hold.
func TestSlowCommitDelaysNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := newStore()
		if r := store.Apply(t.Context(), Change{Content: content(1)}); r.Status != Accepted {
			t.Fatalf("%+v, want an accepted change", r)
		}
		store.Table = slowCommitTable{store.Table}
		w := NewWatcher(store, settings.Default(), slog.New(slog.DiscardHandler))
		w.SetReceiver(recorder{atOnce{w}})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Poll(ctx)
		synctest.Wait()
		if v, ok := w.Version(); !ok || v != 1 {
			t.Errorf("version %d (%v) in force while a commit lasts, want 1", v, ok)
		}
		cancel()
	})
}
