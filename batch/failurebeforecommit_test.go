package batch

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

// TestFailureCountsBeforeItIsDurable guards against a worker that fails every job and
// gets more of them while the ends of the first are being stored.
func TestFailureCountsBeforeItIsDurable(t *testing.T) {
	b := settings.Default().Batch
	now := time.Unix(1000, 0)
	s := newShard(shard, 1, 1, limits{Batch: b}, newFirstFit(), slog.New(slog.DiscardHandler), newMetrics(nil))
	w := s.worker(now, "w0")
	w.listed, w.reconciled = true, true
	var records []storedRecord
	for i := range b.QuarantineAfter {
		rec := task.Record{Spec: spec(fmt.Sprint("j", i), time.Second), State: task.Running, Epoch: 1, Worker: w.name}
		records = append(records, storedRecord{record: rec, version: 1})
	}
	s.load(now, records)
	for _, r := range records {
		if reason := s.unschedulableReason(now, w); reason != "" {
			t.Errorf("the worker is %s before %d jobs have failed", reason, b.QuarantineAfter)
		}
		s.handleReport(now, w, infra.RunReport{Run: infra.RunID{Job: r.record.Spec.ID, Epoch: 1}, State: infra.RunFailed})
	}
	if reason := s.unschedulableReason(now, w); reason != "quarantined" {
		t.Errorf("the worker is %q after %d jobs have failed and no commit has ended, want quarantined", reason, b.QuarantineAfter)
	}
}
