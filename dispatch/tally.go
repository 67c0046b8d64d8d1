package dispatch

import "github.com/fireflygate/fireflygate/infra"

// tally is what the runs of a worker amount to. It is kept as runs come and go,
// so that a planning cycle needn't look at every run of the pool.
type tally struct {
	// serving counts runs that serve users, byClass by class; fillers counts
	// those that fill.
	serving, fillers int
	byClass          map[string]int
	// slowed counts fillers below their full pace.
	slowed int
	// ending is what is reserved for runs that end by themselves.
	ending infra.Resources
	// short is the thousandths of a core reserved for short work.
	short int64
}

// add takes a run in.
func (t *tally) add(r *run) { t.count(r, 1) }

// drop takes a run out.
func (t *tally) drop(r *run) { t.count(r, -1) }

// count changes the counts by one run.
func (t *tally) count(r *run, n int) {
	st := r.task.step
	switch {
	case st.spec.Serving():
		t.serving += n
	case st.spec.BestEffort:
		t.fillers += n
		if r.pace < fullPace {
			t.slowed += n
		}
	}
	if c := st.class; c != "" {
		if t.byClass == nil {
			t.byClass = map[string]int{}
		}
		t.byClass[c] += n
		if t.byClass[c] == 0 {
			delete(t.byClass, c)
		}
	}
	if st.spec.LongRunning {
		return
	}
	if n > 0 {
		t.ending = t.ending.Add(r.reserved)
	} else {
		t.ending = t.ending.Sub(r.reserved)
	}
	if !st.spec.BestEffort {
		t.short += int64(n) * r.reserved.MilliCPU
	}
}
