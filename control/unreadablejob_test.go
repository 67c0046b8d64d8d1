package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/workload"
)

// TestUnreadableJobExists guards against an accepted job whose rows a release can't decode
// and that it takes for one that nobody has submitted: a submission that arrives again would
// replace its rows and run its tasks a second time.
func TestUnreadableJobExists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		table.Put(dispatch.JobPrefix+"job", []byte("of a later release"))
		o := newTestOwner(t, table)
		if err := o.load(); err != nil {
			t.Fatal(err)
		}
		spec := &workload.Job{ID: "job", Queue: "q", Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, DisruptionBudget: -1}}}
		for name, c := range map[string]struct {
			request func() reply
			want    Result
		}{
			"state":  {func() reply { return o.jobState(t.Context(), "job") }, ResultRefused},
			"cancel": {func() reply { return o.cancel(t.Context(), "job") }, ResultRefused},
			"submit": {func() reply { return o.submit(t.Context(), spec, workload.Queue{Name: "q", Pool: "pool"}) }, ResultDone},
		} {
			answered := make(chan reply, 1)
			go func() { answered <- c.request() }()
			runPosted(o)
			select {
			case r := <-answered:
				if r.Result != c.want {
					t.Errorf("%s: %v, want %v", name, r.Result, c.want)
				}
			default:
				t.Errorf("%s: no answer, want %v", name, c.want)
			}
		}
		if o.state.HasJob("job") {
			t.Error("the job was accepted as a new one")
		}
	})
}

// TestLoadAppliesEndsOfUnreadableOwner guards against a task that is started again although
// its end was acknowledged, by an owner that couldn't decode the rows of its job.
func TestLoadAppliesEndsOfUnreadableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		put := func(key string, row any) {
			value, err := msgpack.Marshal(row)
			if err != nil {
				t.Fatal(err)
			}
			table.Put(key, value)
		}
		put(dispatch.JobPrefix+"job", dispatch.JobRow{
			Job:   workload.Job{ID: "job", Queue: "q", Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, DisruptionBudget: -1}}},
			Queue: workload.Queue{Name: "q", Pool: "pool", MaxAttempts: 1},
		})
		put(dispatch.EndsPrefix+"job", dispatch.EndsRow{Ends: []dispatch.EndRow{{Run: 7}}})
		o := newTestOwner(t, table)
		if err := o.load(); err != nil {
			t.Fatal(err)
		}
		b, err := o.state.Flush(time.Now(), maxBatchWrites)
		if err != nil {
			t.Fatal(err)
		}
		if err := o.committer.Commit(t.Context(), b.Writes); err != nil {
			t.Fatal(err)
		}
		o.state.MarkFlushed(b)
		if state, ok := o.state.JobState("job"); !ok || state != workload.Complete {
			t.Errorf("the job is %v (known: %v), want complete", state, ok)
		}
		rows, err := table.Scan(t.Context(), dispatch.EndsPrefix, "", 1)
		if err != nil || len(rows) > 0 {
			t.Errorf("rows %v, error %v; want the applied ends deleted", rows, err)
		}
	})
}
