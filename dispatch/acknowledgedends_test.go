package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// check checks the ends that the worker is about to forget.
func (s *ackSim) check(acknowledged uint64) {
	rows := s.owner().rows
	for _, e := range s.life.ends {
		if e.Number > acknowledged {
			continue
		}
		s.forgotten++
		if _, ok := rows[dispatch.JobPrefix+e.Task.Job]; !ok {
			s.t.Errorf("end %d of %v is forgotten, and its job isn't stored", e.Number, e.Task)
			continue
		}
		row, err := dispatch.DecodeProgressRow(rows[dispatch.ProgressPrefix+e.Task.Job])
		if err != nil {
			s.t.Errorf("end %d of %v is forgotten, and its job has no progress: %v", e.Number, e.Task, err)
			continue
		}
		done := e.Task.Step < len(row.Done) && e.Task.Index/8 < len(row.Done[e.Task.Step]) && row.Done[e.Task.Step][e.Task.Index/8]&(1<<(e.Task.Index%8)) != 0
		failed := slices.ContainsFunc(row.Failed, func(f dispatch.FailedRuns) bool {
			return f.Step == e.Task.Step && f.Index == e.Task.Index && slices.Contains(f.Runs, e.Run)
		})
		if !done && !row.State.Final() && (e.Kind == runner.EndDone || !failed) {
			s.t.Errorf("end %d of %v run %d, %v, is forgotten, and no row holds it", e.Number, e.Task, e.Run, e.Kind)
		}
	}
}

// TestForgottenEndsAreStored guards against jobs that stand still and tasks that are started
// again after they have ended as done: a worker forgot ends that weren't stored.
func TestForgottenEndsAreStored(t *testing.T) {
	seeds := []uint64{37, 57, 98} // found faults that few seeds find
	for seed := range uint64(16) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newAckSim(t, seed)
			for range 1500 {
				s.step()
			}
			if s.forgotten < 100 {
				t.Errorf("%d ends were forgotten, want more", s.forgotten)
			}
		})
	}
}
