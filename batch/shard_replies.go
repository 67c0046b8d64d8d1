package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

// handleRefusal handles that the worker has received a higher epoch: that of a newer owner
// of the shard, which a commit will tell, or of an owner of the shard that it was listed in
// before. In the latter case it takes no orders until it starts again.
func (s *Shard) handleRefusal(now time.Time, w *worker) {
	if !w.refuses {
		event.WorkerRefused.Log(s.log, slog.String("worker", w.name), slog.Uint64("epoch", s.epoch))
	}
	w.refuses = true
	s.updatePlannerHost(now, w)
	s.verifyOwnership()
}

// handleEarlierReply handles a reply from an address that the worker isn't listed at any
// more: only what it says of runs is of use.
func (s *Shard) handleEarlierReply(now time.Time, w *worker, reply infra.ExchangeReply) {
	s.requestExchange(w)
	if !s.ready || reply.Stale {
		return
	}
	for _, r := range reply.Runs {
		s.handleReport(now, w, r)
	}
}
