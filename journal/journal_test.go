package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/settings"
)

// testJournal is a journal on an in-memory table, with the results of its entries.
type testJournal struct {
	*Journal
	table   *memtable.Table
	stop    context.CancelFunc
	mu      sync.Mutex
	results map[string]infra.CommitResult
	done    chan struct{}
}

// withJournal calls f with a running journal on a virtual clock and stops the journal
// afterwards.
func withJournal(t *testing.T, f func(r *testJournal)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		r := &testJournal{table: memtable.New(), stop: stop, results: map[string]infra.CommitResult{}, done: make(chan struct{})}
		b := settings.Default().Batch
		r.Journal = New(Config{Table: r.table, Incarnation: "i1", Settings: b, MaxQueue: 1000})
		go func() {
			r.Run(ctx)
			close(r.done)
		}()
		f(r)
		stop()
		<-r.done
	})
}

// put appends a write of one row and records its result under name.
func (r *testJournal) put(name, key string, c ...infra.Condition) {
	r.Append(Entry{
		Conditions: c,
		Writes:     []infra.Write{{Key: key, Value: []byte(name)}},
		Done:       func(res infra.CommitResult) { r.record(name, res) },
	})
}

func (r *testJournal) record(name string, res infra.CommitResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[name] = res
}

// sleep sleeps for d of virtual time.
func sleep(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// value returns the value of a row, or the text of the error.
func (r *testJournal) value(key string) string {
	rows, err := r.table.Get(context.Background(), key)
	if err != nil {
		return err.Error()
	}
	return string(rows[0].Value)
}

func expect(t *testing.T, r *testJournal, name string, want infra.CommitStatus) {
	t.Helper()
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	got, ok := r.results[name]
	if !ok || got.Status != want {
		t.Errorf("entry %s: result %v (recorded: %v), want status %v", name, got, ok, want)
	}
}

func TestBusyEntriesShareACommit(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = 50 * time.Millisecond })
		r.put("first", "k")
		synctest.Wait()
		for i := range 200 {
			r.put(fmt.Sprint(i), fmt.Sprint("k", i))
		}
		sleep(250 * time.Millisecond)
		if got := r.table.Stats().Commits; got != 3 {
			t.Errorf("%d commits for one entry and two full ones of the 200 behind it, of which the table takes 98 at once, want 3", got)
		}
		sleep(250 * time.Millisecond)
		if got := r.table.Stats().Commits; got != 4 {
			t.Errorf("%d commits for one entry and 200 queued behind it, want 4", got)
		}
		expect(t, r, "199", infra.CommitApplied)
	})
}

// TestRejectedEntryDoesNotStopOthers guards against a journal that repeats a transaction which the
// table never takes, because of one entry, and commits nothing else.
func TestRejectedEntryDoesNotStopOthers(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = 50 * time.Millisecond })
		r.put("head", "h")
		synctest.Wait()
		for i := range 40 {
			r.put(fmt.Sprint(i), fmt.Sprint("k", i))
		}
		r.Append(Entry{
			Writes: []infra.Write{{Key: "large", Value: make([]byte, 70_000)}},
			Done:   func(res infra.CommitResult) { r.record("large", res) },
		})
		sleep(2 * time.Second)
		expect(t, r, "large", infra.CommitNotApplied)
		for i := range 40 {
			expect(t, r, fmt.Sprint(i), infra.CommitApplied)
		}
	})
}

// TestGroupFitsTransaction guards against a group that the table never takes, though each of its
// entries fits: with their conditions or in base64 they are too many or too large.
func TestGroupFitsTransaction(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = 50 * time.Millisecond })
		r.put("head", "h")
		synctest.Wait()
		for i := range 60 {
			key := fmt.Sprint("k", i)
			r.Append(Entry{
				Conditions: []infra.Condition{{Key: key}, {Key: "other" + key}},
				Writes:     []infra.Write{{Key: key, Value: make([]byte, 60_000)}},
				Done:       func(res infra.CommitResult) { r.record(key, res) },
			})
		}
		sleep(2 * time.Second)
		for i := range 60 {
			expect(t, r, fmt.Sprint("k", i), infra.CommitApplied)
		}
		if n := r.table.Stats().Rejected; n > 0 {
			t.Errorf("%d transactions were rejected", n)
		}
	})
}

func TestConflictFailsOnlyItsEntry(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = 50 * time.Millisecond })
		r.put("head", "h")
		synctest.Wait()
		r.put("good", "a")
		r.put("bad", "b", infra.Condition{Key: "b", Version: 77})
		r.put("also good", "c", infra.Condition{Key: "c"})
		sleep(time.Second)
		expect(t, r, "good", infra.CommitApplied)
		expect(t, r, "bad", infra.CommitConflict)
		expect(t, r, "also good", infra.CommitApplied)
	})
}

func TestSameRowKeepsOrder(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = 50 * time.Millisecond })
		r.put("head", "h")
		synctest.Wait()
		for i := range 5 {
			r.put(fmt.Sprint("v", i), "same")
		}
		r.Append(Entry{
			Urgent: true, Writes: []infra.Write{{Key: "same", Value: []byte("last")}},
			Done: func(infra.CommitResult) {},
		})
		sleep(2 * time.Second)
		if got := r.value("same"); got != "last" {
			t.Errorf("row is %q, want the entry appended last", got)
		}
	})
}

func TestLostReplyIsResolved(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 })
		r.put("lost", "k", infra.Condition{Key: "k"})
		sleep(time.Second)
		expect(t, r, "lost", infra.CommitApplied)
		if got := r.table.Stats().Commits; got != 1 {
			t.Errorf("%d commits arrived, want 1: an applied commit must not be retried", got)
		}
	})
}

func TestRetryWithoutRowReadIsDetected(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.skipRowRead = true
		r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 })
		r.put("lost", "k", infra.Condition{Key: "k"})
		sleep(time.Second)
		if res := r.results["lost"]; res.Status == infra.CommitApplied {
			t.Error("entry reported as applied although the journal did not read its row after a lost reply")
		}
	})
}

func TestLateArrivalTakesEffectOnce(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.HoldCommits = 1 })
		r.put("held", "k")
		synctest.Wait()
		r.table.DeliverHeld() // after the journal has read its row
		sleep(time.Second)
		expect(t, r, "held", infra.CommitApplied)
		r.put("next", "k")
		sleep(time.Second)
		expect(t, r, "next", infra.CommitApplied)
		if got := r.table.Stats().Rows; got != 4 {
			t.Errorf("%d rows written by two commits of two rows each, want 4", got)
		}
	})
}

func TestOutage(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Down = true })
		r.put("waits", "w")
		synctest.Wait()
		r.Append(Entry{
			Writes: []infra.Write{{Key: "d"}}, Deadline: time.Now().Add(3 * time.Second),
			Done: func(res infra.CommitResult) { r.record("late", res) },
		})
		for i := range 999 {
			r.put(fmt.Sprint(i), fmt.Sprint("k", i))
		}
		r.put("over", "o")
		expect(t, r, "over", infra.CommitNotApplied)
		sleep(time.Minute)
		expect(t, r, "late", infra.CommitNotApplied)
		if got := r.table.Stats().Refused; got > 60 {
			t.Errorf("%d attempts in a minute of outage, want at most 60", got)
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		sleep(5 * time.Second)
		expect(t, r, "waits", infra.CommitApplied)
		expect(t, r, "998", infra.CommitApplied)
	})
}

func TestStopCompletesAllEntries(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Delay = time.Minute })
		r.put("sent", "a")
		synctest.Wait()
		r.put("queued", "b")
		r.stop()
		<-r.done
		expect(t, r, "queued", infra.CommitNotApplied)
		expect(t, r, "sent", infra.CommitUnknown)
	})
}

func TestCommitDuringOutageIsNotApplied(t *testing.T) {
	withJournal(t, func(r *testJournal) {
		r.table.Set(func(f *memtable.Faults) { f.Down = true })
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			res := r.Commit(ctx, nil, []infra.Write{{Key: "k"}})
			cancel()
			if res.Status != infra.CommitNotApplied {
				t.Errorf("commit during an outage: status %v, want not applied", res.Status)
			}
		}
	})
}
