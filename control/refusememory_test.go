package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/workload"
)

// TestOneQueueLeavesMemoryToOthers guards against clients of one queue whose jobs take all of the
// memory for the state of jobs, so that no job of another queue is accepted.
func TestOneQueueLeavesMemoryToOthers(t *testing.T) {
	flood, other := workload.Queue{Name: "flood", Pool: "pool"}, workload.Queue{Name: "other", Pool: "pool"}
	small := func(id string) *workload.Job {
		return &workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, DisruptionBudget: -1}}}
	}
	o := newTestOwner(t, memtable.New())
	o.config.Queues = []workload.Queue{flood, other}
	o.opts.StateBytes = 100 * dispatch.JobBytes(small("job"))
	accepted := 0
	for i := range 200 {
		spec := small(fmt.Sprint("job", i))
		if _, refused := o.refuseForMemory(spec, flood); refused {
			break
		}
		o.state.Accept(time.Now(), time.Now().UnixMilli(), spec, flood)
		accepted++
	}
	if accepted < 70 || accepted > 75 {
		t.Errorf("%d jobs of one queue are accepted, want three quarters of the 100 that fit", accepted)
	}
	if r, refused := o.refuseForMemory(small("other"), other); refused {
		t.Errorf("a job of another queue is refused: %+v", r)
	}
	o.config.Queues = []workload.Queue{flood}
	if r, refused := o.refuseForMemory(small("only"), flood); refused {
		t.Errorf("a job of the only queue is refused with a quarter of the memory free: %+v", r)
	}
}
