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

// TestUrgentFlush writes new jobs, those that are over and those that were
// hastened, and leaves the progress of others to gather. No end counts as
// durable before all progress is.
func TestUrgentFlush(t *testing.T) {
	r := newRig(t, 4)
	r.submit(queueShort, "goes-on", step(2, 4))
	r.submit(queueShort, "over", step(1, 4))
	r.submit(queueShort, "hastened", step(1, 4))
	starts := r.plan()
	if r.state.HasUrgentChanges() {
		t.Error("starts are urgent")
	}
	for i, o := range starts {
		if o.Start.Task.Job == "over" || o.Start.Task.Index == 1 {
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(uint64(i+1), o, runner.EndDone)})
		}
	}
	r.state.MarkUrgent("hastened")
	r.state.Accept(r.now, r.now.UnixMilli(), &workload.Job{ID: "new", Queue: queueShort.Name, Steps: []workload.Step{step(1, 4)}}, queueShort)
	if !r.state.HasUrgentChanges() {
		t.Error("a new job isn't urgent")
	}
	b, err := r.state.FlushUrgent(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := jobsIn(b), []string{"hastened", "new", "over"}; !slices.Equal(got, want) {
		t.Errorf("writes %v, want %v", got, want)
	}
	r.apply(b)
	if r.state.HasUrgentChanges() || !r.state.HasUnflushedChanges() {
		t.Errorf("urgent %v, unflushed %v after the urgent part is durable", r.state.HasUrgentChanges(), r.state.HasUnflushedChanges())
	}
	for _, o := range starts {
		if _, renewal, _ := r.state.Renewal(r.now, o.Worker.ID, true); renewal.Acknowledged != 0 {
			t.Errorf("ends of %s are acknowledged while progress isn't durable", o.Worker.ID)
		}
	}
	if b, err = r.state.Flush(r.now, 98); err != nil {
		t.Fatal(err)
	}
	if got, want := jobsIn(b), []string{"goes-on"}; !slices.Equal(got, want) {
		t.Errorf("then writes %v, want %v", got, want)
	}
}

// TestReadsMarksOfEarlierVersions reads a row whose marks are maps.
func TestReadsMarksOfEarlierVersions(t *testing.T) {
	type mark struct {
		Occurrence int    `msgpack:"k"`
		Step       int    `msgpack:"s"`
		Index      int    `msgpack:"i"`
		Worker     uint32 `msgpack:"w"`
	}
	type row struct {
		State   workload.State `msgpack:"s"`
		Running []mark         `msgpack:"r,omitempty"`
	}
	old, err := msgpack.Marshal(row{State: workload.InProgress, Running: []mark{{1, 2, 3, 4}}})
	if err != nil {
		t.Fatal(err)
	}
	p, err := dispatch.DecodeProgressRow(old)
	if err != nil {
		t.Fatal(err)
	}
	want := dispatch.RunLocation{Occurrence: 1, Step: 2, Index: 3, WorkerHash: 4}
	if len(p.Running) != 1 || p.Running[0] != want {
		t.Errorf("read %+v, want %+v", p.Running, want)
	}
	now, err := msgpack.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if len(now) >= len(old) {
		t.Errorf("%d bytes, %d before", len(now), len(old))
	}
}
