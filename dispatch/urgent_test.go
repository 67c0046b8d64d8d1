package dispatch_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// jobsIn returns the jobs whose rows a batch writes.
func jobsIn(b *dispatch.Batch) []string {
	var ids []string
	for _, w := range b.Writes {
		_, id, _ := strings.Cut(w.Key, "/")
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestUrgentFlush checks that an urgent flush writes only new jobs, finished
// jobs and those marked urgent, and acknowledges no end before all progress is
// durable.
func TestUrgentFlush(t *testing.T) {
	r := newRig(t, 4)
	r.submit(queueShort, "running", step(2, 4))
	r.submit(queueShort, "finished", step(1, 4))
	r.submit(queueShort, "urgent", step(1, 4))
	starts := r.plan()
	if r.state.HasUrgentChanges() {
		t.Error("HasUrgentChanges is true after starts only")
	}
	for i, o := range starts {
		if o.Start.Task.Job == "finished" || o.Start.Task.Index == 1 {
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(uint64(i+1), o, runner.EndDone)})
		}
	}
	r.state.MarkUrgent("urgent")
	r.state.Accept(r.now, r.now.UnixMilli(), &workload.Job{ID: "new", Queue: queueShort.Name, Steps: []workload.Step{step(1, 4)}}, queueShort)
	if !r.state.HasUrgentChanges() {
		t.Error("HasUrgentChanges is false after a new job")
	}
	b, err := r.state.FlushUrgent(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := jobsIn(b), []string{"finished", "new", "urgent"}; !slices.Equal(got, want) {
		t.Errorf("urgent flush writes %v, want %v", got, want)
	}
	r.apply(b)
	if r.state.HasUrgentChanges() || !r.state.HasUnflushedChanges() {
		t.Errorf("urgent %v, unflushed %v after the urgent part is durable", r.state.HasUrgentChanges(), r.state.HasUnflushedChanges())
	}
	for _, o := range starts {
		if _, renewal, _ := r.state.Renewal(r.now, o.Worker.ID, testLease); renewal.Acknowledged != 0 {
			t.Errorf("ends of %s are acknowledged while progress isn't durable", o.Worker.ID)
		}
	}
	if b, err = r.state.Flush(r.now, 98); err != nil {
		t.Fatal(err)
	}
	if got, want := jobsIn(b), []string{"running"}; !slices.Equal(got, want) {
		t.Errorf("next flush writes %v, want %v", got, want)
	}
}

// TestReadsRunLocationsWrittenAsMaps checks that rows with run locations
// encoded as maps can be read.
func TestReadsRunLocationsWrittenAsMaps(t *testing.T) {
	type location struct {
		Occurrence int    `msgpack:"k"`
		Step       int    `msgpack:"s"`
		Index      int    `msgpack:"i"`
		Worker     uint32 `msgpack:"w"`
	}
	type row struct {
		State   workload.State `msgpack:"s"`
		Running []location     `msgpack:"r,omitempty"`
	}
	old, err := msgpack.Marshal(row{State: workload.InProgress, Running: []location{{1, 2, 3, 4}}})
	if err != nil {
		t.Fatal(err)
	}
	p, err := dispatch.DecodeProgressRow(old)
	if err != nil {
		t.Fatal(err)
	}
	want := dispatch.RunLocation{Occurrence: 1, Step: 2, Index: 3, WorkerHash: 4}
	if len(p.Running) != 1 || p.Running[0] != want {
		t.Errorf("decoded %+v, want %+v", p.Running, want)
	}
	now, err := msgpack.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if len(now) >= len(old) {
		t.Errorf("array encoding takes %d bytes, map encoding %d", len(now), len(old))
	}
}
