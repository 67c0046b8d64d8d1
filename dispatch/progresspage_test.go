package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// largestJobs returns the largest jobs that are accepted: in one step, in steps of one
// occurrence, and in occurrences.
func largestJobs() map[string]*workload.Job {
	steps := make([]workload.Step, workload.MaxSteps)
	for i := range steps {
		steps[i] = workload.Step{Tasks: 300, Speculative: true}
	}
	return map[string]*workload.Job{
		"one step":    {ID: "0123456789abcdef", Steps: []workload.Step{{Tasks: workload.MaxTasks, Speculative: true}}},
		"steps":       {ID: "0123456789abcdef", Steps: steps},
		"occurrences": {ID: "0123456789abcdef", Steps: []workload.Step{{Tasks: 1}, {Tasks: 1}}, Repeats: workload.MaxTasks / 2},
	}
}

// fullState returns a State with a job of which all tasks have all that progress holds: two
// runs, crashes, failed runs, with the numbers and times that take the most bytes.
func fullState(t *testing.T, spec *workload.Job, attempts int) (*State, *job) {
	t.Helper()
	if err := spec.ValidateNew(); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	s := New(Config{Epoch: 1})
	s.Accept(now, now.UnixMilli(), spec, workload.Queue{Name: "q", Pool: "pool", MaxAttempts: attempts})
	j := s.jobs[spec.ID]
	j.state, j.rowStored = workload.InProgress, true
	j.submittedAt = now.Add(-workload.MaxDuration / 2)
	random := rand.New(rand.NewPCG(1, 2))
	j.eachTask(func(x *task) {
		for range 2 {
			w := &worker{life: &life{}, hash: random.Uint32()}
			x.runs = append(x.runs, &run{task: x, worker: w, separate: true})
		}
		for i := range maxCrashes {
			x.crashes = append(x.crashes, crash{worker: random.Uint32(), early: i%2 == 0, restarted: i%3 == 0})
		}
		x.exhaustedAt = now
		for range attempts - 1 {
			x.failed = append(x.failed, 1<<53-uint64(len(x.failed)))
		}
	})
	return s, j
}

// commitAll collects batches until nothing is left, checks each against the limits of the store
// and returns the stored rows.
func commitAll(t *testing.T, s *State) map[string][]byte {
	t.Helper()
	rows := map[string][]byte{}
	for n := 0; s.HasUnflushedChanges(); n++ {
		if n > 100 {
			t.Fatal("changes are left after 100 batches")
		}
		b, err := s.Flush(time.Unix(1000, 0), 98)
		if err != nil {
			t.Fatal(err)
		}
		owner := infra.Write{Key: "owner", Value: make([]byte, s.limits().RowBytes)}
		tx := infra.Transaction{Conditions: []infra.Condition{{Key: "owner"}}, Writes: append([]infra.Write{owner}, b.Writes...)}
		if err := s.limits().Check(&tx); err != nil {
			t.Fatalf("batch %d: %v", n, err)
		}
		for _, w := range b.Writes {
			rows[w.Key] = w.Value
			if w.Delete {
				delete(rows, w.Key)
			}
		}
		s.MarkFlushed(b)
	}
	return rows
}

// decodeRows decodes a job's progress from rows.
func decodeRows(spec *workload.Job, rows map[string][]byte) (*ProgressRow, error) {
	pages := map[int][]byte{}
	for key, value := range rows {
		if _, page, ok := ParsePageKey(key); ok {
			pages[page] = value
		}
	}
	return DecodeProgress(spec, rows[ProgressPrefix+spec.ID], pages)
}

// TestProgressOfLargestJobsFitsRows guards against a batch that the store rejects for good:
// the lists of failed runs, lost workers and run locations of a large job were each, or
// together, larger than a row.
func TestProgressOfLargestJobsFitsRows(t *testing.T) {
	for name, spec := range largestJobs() {
		for _, attempts := range []int{1, 3, maxPagedFailures + 1} {
			s, j := fullState(t, spec, attempts)
			row, err := decodeRows(spec, commitAll(t, s))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			want := j.progress()
			if pages := len(j.pages.stored); pages < spec.TotalTasks()/j.pages.tasks {
				t.Fatalf("%s: %d pages", name, pages)
			}
			if len(row.Running) != 2*spec.TotalTasks() || len(row.Unproven) != len(row.Running) || len(row.Crashed) != spec.TotalTasks() ||
				row.State != want.State || (attempts > 1 && len(row.Failed) != spec.TotalTasks()) {
				t.Fatalf("%s: %d runs, %d unproven, %d crashed, %d failed of %d tasks are stored", name, len(row.Running),
					len(row.Unproven), len(row.Crashed), len(row.Failed), spec.TotalTasks())
			}
			for i := range row.Failed {
				if !slices.Equal(row.Failed[i].Runs, want.Failed[i].Runs) {
					t.Fatalf("%s: failed runs %v are stored, want %v", name, row.Failed[i], want.Failed[i])
				}
			}
			for i := range row.Crashed {
				got, want := row.Crashed[i], want.Crashed[i]
				if !slices.Equal(got.Early, want.Early) || !slices.Equal(got.Late, want.Late) || !slices.Equal(got.Restarted, want.Restarted) || got.ExhaustedMS != want.ExhaustedMS {
					t.Fatalf("%s: crashes %v are stored, want %v", name, got, want)
				}
			}
		}
	}
}

// TestPageBytesPerTask guards against a page that outgrows a row: a task takes more than
// pageTaskBytes.
func TestPageBytesPerTask(t *testing.T) {
	_, j := fullState(t, &workload.Job{ID: "job", Steps: []workload.Step{{Tasks: 1, Speculative: true}}}, maxPagedFailures+40)
	x := &j.occurrences[0].steps[0].tasks[0]
	for range 2 {
		x.runs = append(x.runs, x.runs[0]) // adopted besides the speculative ones
	}
	for i := range x.failed {
		x.failed[i] = 1<<53 - 1 // run numbers stay below
	}
	if n := len(x.appendProgress(nil)); n+binaryMaxIndex > pageTaskBytes {
		t.Errorf("a task takes %d bytes and its index, want %d at most", n, pageTaskBytes)
	}
}

// binaryMaxIndex is what the index of a task and its bit take on a page at most.
const binaryMaxIndex = 4

// TestRestoredPagesAreNotWrittenAgain guards against an owner that writes all pages of a large
// job with each change, and against progress that is lost between owners.
func TestRestoredPagesAreNotWrittenAgain(t *testing.T) {
	spec := largestJobs()["one step"]
	s, j := fullState(t, spec, 3)
	rows := commitAll(t, s)
	progress, err := decodeRows(spec, rows)
	if err != nil {
		t.Fatal(err)
	}
	next := New(Config{Epoch: 2})
	now := time.Unix(1000, 0)
	next.RestoreJob(now, now.UnixMilli(), &JobRow{Job: *spec, Queue: j.queue}, progress)
	restored := next.jobs[spec.ID]
	if len(restored.occurrences[0].steps[0].tasks[7].locations) != 2 {
		t.Error("run locations are lost")
	}
	next.markDirty(restored)
	commitAll(t, next) // drops the run locations, as no worker has reported these runs
	next.completeTask(now, &restored.occurrences[0].steps[0].tasks[workload.MaxTasks-1])
	next.markDirty(restored)
	b, err := next.Flush(now, 98)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Writes) != 1 {
		t.Errorf("%d rows are written after one task is done, want 1", len(b.Writes))
	}
}

// TestLocationsCountOnceHeaderIsStored guards against a run that starts while no owner would
// learn of its location: its page is stored, and the row that makes pages count isn't.
func TestLocationsCountOnceHeaderIsStored(t *testing.T) {
	spec := largestJobs()["one step"]
	s, j := fullState(t, spec, maxPagedFailures)
	first := j.occurrences[0].steps[0].tasks[0].runs[0]
	for {
		b, err := s.Flush(time.Unix(1000, 0), 98)
		if err != nil {
			t.Fatal(err)
		}
		header := slices.ContainsFunc(b.Writes, func(w infra.Write) bool { return w.Key == ProgressPrefix+spec.ID })
		s.MarkFlushed(b)
		if first.stored != header {
			t.Fatalf("stored: %v, header written: %v", first.stored, header)
		}
		if header {
			return
		}
	}
}

// TestPagesThatChangeAgainDontKeepOthersWaiting guards against pages that are never written, since
// those before them change with each batch and take all of its room.
func TestPagesThatChangeAgainDontKeepOthersWaiting(t *testing.T) {
	spec := largestJobs()["one step"]
	s, j := fullState(t, spec, maxPagedFailures)
	written := map[string]bool{}
	for range 40 {
		b, err := s.Flush(time.Unix(1000, 0), 98)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range b.Writes {
			written[w.Key] = true
		}
		s.MarkFlushed(b)
		j.eachTask(func(x *task) { x.failed[0]++ })
		s.markDirty(j)
	}
	pages := (workload.MaxTasks + j.pages.tasks - 1) / j.pages.tasks
	if !written[ProgressPrefix+spec.ID] || len(written) != pages+1 {
		t.Errorf("%d of %d rows are written, the header: %v", len(written), pages+1, written[ProgressPrefix+spec.ID])
	}
}

// TestEarlierReleaseSkipsPagedProgress guards against a release without pages that takes the
// header for progress and starts all tasks again: it has to skip the job.
func TestEarlierReleaseSkipsPagedProgress(t *testing.T) {
	value, err := encodeHeader(pagedHeader{State: workload.InProgress, Tasks: 300})
	if err != nil {
		t.Fatal(err)
	}
	var row ProgressRow
	if err := msgpack.Unmarshal(value, &row); err == nil {
		t.Errorf("decoded as %+v", row)
	}
}

// TestDamagedPages guards against a panic on a damaged page.
func TestDamagedPages(t *testing.T) {
	spec := largestJobs()["steps"]
	s, _ := fullState(t, spec, 3)
	rows := commitAll(t, s)
	random := rand.New(rand.NewPCG(1, 2))
	key := pageKey(spec.ID, 3)
	intact := rows[key]
	for range 2000 {
		damaged := slices.Clone(intact[:1+random.IntN(len(intact))])
		damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))
		d := pageDecoder{row: &ProgressRow{Done: make([][]byte, workload.MaxSteps)}, job: spec}
		for i := range d.row.Done {
			d.row.Done[i] = make([]byte, 40)
		}
		_ = d.decode(damaged, 0, 300) // must not panic
	}
}
