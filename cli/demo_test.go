package cli

import (
	"testing"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/demo"
	"github.com/fireflygate/fireflygate/infra"
)

// TestDemoFailsOnABrokenPromise checks that the demo fails on records of a job
// that runs on two workers at once, and succeeds on records of a job that moves.
func TestDemoFailsOnABrokenPromise(t *testing.T) {
	began := func(worker string, epoch uint64) check.Record {
		return check.Record{RunBegan: &check.RunBegan{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}}}
	}
	ended := func(worker string, epoch uint64) check.Record {
		return check.Record{RunEnded: &check.RunEnded{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, State: infra.RunStopped}}
	}
	moved := []check.Record{began("a", 1), ended("a", 1), began("b", 2), ended("b", 2)}
	if code := demoExitCode(demo.CheckHistory(numbered(moved))); code != ExitOK {
		t.Errorf("a job that moved: exit %d, want success", code)
	}
	concurrent := []check.Record{began("a", 1), began("b", 2), ended("a", 1), ended("b", 2)}
	if code := demoExitCode(demo.CheckHistory(numbered(concurrent))); code != ExitFailed {
		t.Errorf("a job on two workers at once: exit %d, want %d", code, ExitFailed)
	}
}

// numbered sets the sequence numbers of records.
func numbered(records []check.Record) []check.Record {
	for i := range records {
		records[i].Seq = uint64(i + 1)
	}
	return records
}
