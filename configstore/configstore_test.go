package configstore

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

func newStore() (*Store, *standin.Table) {
	table := standin.NewTable()
	return &Store{Table: table, Objects: standin.NewObjects(), Now: func() time.Time { return time.Unix(0, 0) }}, table
}

func content(queue int) string { return fmt.Sprintf("[calls]\nqueue = %d\n", queue) }

// TestConcurrentChanges checks that exactly one of many changes with the same
// base is accepted, and that the others return the accepted version and the keys
// in which they differ from it.
func TestConcurrentChanges(t *testing.T) {
	store, _ := newStore()
	const changes = 16
	results := make([]Result, changes)
	var wg sync.WaitGroup
	for i := range changes {
		wg.Go(func() {
			results[i] = store.Apply(t.Context(), Change{Author: fmt.Sprint(i), Content: content(i + 1)})
		})
	}
	wg.Wait()
	winner := ""
	for i, r := range results {
		if r.Status == Accepted {
			if winner != "" {
				t.Fatalf("both %s and %d were accepted", winner, i)
			}
			winner = fmt.Sprint(i)
		}
	}
	for i, r := range results {
		if r.Status == Accepted {
			continue
		}
		if r.Status != Conflict || r.Head.Author != winner || len(r.ChangedKeys) != 1 || r.ChangedKeys[0] != "calls.queue" {
			t.Errorf("change %d: %+v, want a conflict with the change of %s in calls.queue", i, r, winner)
		}
	}
}

// TestLostReplyIsResolved checks that a change whose commit took effect but
// whose reply was lost is reported as accepted, and is applied once.
func TestLostReplyIsResolved(t *testing.T) {
	store, table := newStore()
	store.Table = replyLoser{table}
	r := store.Apply(t.Context(), Change{Author: "a", Content: content(1)})
	if r.Status != Accepted || r.Head.Version != 1 {
		t.Fatalf("%+v, want version 1 accepted", r)
	}
	versions, err := store.Versions(t.Context(), 10)
	if err != nil || len(versions) != 1 {
		t.Fatalf("%d versions (%v), want 1", len(versions), err)
	}
}

// TestStoreDownIsNotApplied checks that a change is reported as not applied
// while the table is unavailable, and doesn't take effect later.
func TestStoreDownIsNotApplied(t *testing.T) {
	store, table := newStore()
	table.Set(standin.Faults{Down: true})
	if r := store.Apply(t.Context(), Change{Content: content(1)}); r.Status != NotApplied {
		t.Fatalf("%+v, want not applied", r)
	}
	table.Set(standin.Faults{})
	if h, err := store.Head(t.Context()); err != nil || h.Version != 0 {
		t.Fatalf("head %+v (%v), want none", h, err)
	}
}

func TestRollbackIsANewVersion(t *testing.T) {
	store, _ := newStore()
	for i := range 3 {
		store.Apply(t.Context(), Change{Base: uint64(i), Content: content(i + 1)})
	}
	text, r := store.Rollback(t.Context(), 3, 1, "b", func(old string) (string, error) { return old, nil })
	if r.Status != Accepted || r.Head.Version != 4 || text != content(1) {
		t.Fatalf("%+v %q, want the content of 1 as version 4", r, text)
	}
	list, err := store.Versions(t.Context(), 2)
	if err != nil || len(list) != 2 || list[0].Version != 4 || list[1].Version != 3 {
		t.Fatalf("versions %+v (%v), want 4 and 3", list, err)
	}
}

// TestVersionNeverDecreases offers versions in random order, with corrupted
// offers and store reads between them, and checks that the version in force only
// increases and ends at the newest.
func TestVersionNeverDecreases(t *testing.T) {
	for seed := range uint64(200) {
		store, table := newStore()
		offers := offersOf(t, store, 8)
		local := settings.Default()
		w := NewWatcher(store, local, slog.New(slog.DiscardHandler))
		var last uint64
		w.Subscribe(func(c Current) {
			if c.Head.Version <= last {
				t.Fatalf("seed %d: version %d in force after %d", seed, c.Head.Version, last)
			}
			last = c.Head.Version
		})
		rng := rand.New(rand.NewPCG(seed, 0))
		rng.Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
		for i, o := range offers {
			table.Set(standin.Faults{Down: i%2 == 0})
			if rng.IntN(3) == 0 {
				w.Poll(t.Context())
			}
			damaged := o
			damaged.Content += "# damaged"
			w.ApplyIfNewer(damaged)
			w.ApplyIfNewer(o)
		}
		if last != uint64(len(offers)) {
			t.Fatalf("seed %d: version %d in force at the end, want %d", seed, last, len(offers))
		}
	}
}

// offersOf applies n changes and returns an offer of each.
func offersOf(t *testing.T, store *Store, n int) []Offer {
	t.Helper()
	var offers []Offer
	for i := range n {
		r := store.Apply(t.Context(), Change{Base: uint64(i), Content: content(i + 1)})
		if r.Status != Accepted {
			t.Fatalf("change %d: %+v", i, r)
		}
		offers = append(offers, Offer{Head: r.Head, Content: content(i + 1)})
	}
	return offers
}

// TestStartingHostWaitsForTheHead checks that a starting host doesn't apply the
// policy of its settings folder while the store is unavailable, since the folder
// may be older than the configuration in force.
func TestStartingHostWaitsForTheHead(t *testing.T) {
	store, table := newStore()
	store.Apply(t.Context(), Change{Content: content(7)})
	w := NewWatcher(store, settings.Default(), slog.New(slog.DiscardHandler))
	table.Set(standin.Faults{Down: true})
	w.Poll(t.Context())
	if c, ok := w.Current(); ok {
		t.Fatalf("version %d in force though the head could not be read", c.Head.Version)
	}
	table.Set(standin.Faults{})
	w.Poll(t.Context())
	if c, ok := w.Current(); !ok || c.Head.Version != 1 || c.Settings.Calls.Queue != 7 {
		t.Fatalf("%+v, want version 1 in force", c.Head)
	}
}

// replyLoser applies commits and drops their replies.
type replyLoser struct{ *standin.Table }

func (l replyLoser) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	l.Table.Commit(ctx, tx)
	return infra.CommitResult{Status: infra.CommitUnknown}
}
