package cli

import (
	"testing"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/demo"
	"github.com/fireflygate/fireflygate/infra"
)

// TestDemoFailsOnABrokenPromise gives the checks a history in which a job
// runs in two places, and one in which it moves.
func TestDemoFailsOnABrokenPromise(t *testing.T) {
	began := func(worker string, epoch uint64) check.Record {
		return check.Record{RunBegan: &check.RunBegan{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}}}
	}
	ended := func(worker string, epoch uint64) check.Record {
		return check.Record{RunEnded: &check.RunEnded{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, State: infra.RunStopped}}
	}
	moved := []check.Record{began("a", 1), ended("a", 1), began("b", 2), ended("b", 2)}
	if code := exitOfDemo(demo.CheckHistory(numbered(moved))); code != ExitOK {
		t.Errorf("a job that moved: exit %d", code)
	}
	doctored := []check.Record{began("a", 1), began("b", 2), ended("a", 1), ended("b", 2)}
	if code := exitOfDemo(demo.CheckHistory(numbered(doctored))); code != ExitFailed {
		t.Errorf("a job in two places: exit %d, want %d", code, ExitFailed)
	}
}

// numbered gives records their order.
func numbered(records []check.Record) []check.Record {
	for i := range records {
		records[i].Seq = uint64(i + 1)
	}
	return records
}
