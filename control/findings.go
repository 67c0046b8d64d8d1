package control

import (
	"log/slog"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/runner"
)

// acknowledgment is the number up to which the ends of one life of a worker are
// acknowledged.
type acknowledgment struct {
	incarnation runner.Incarnation
	number      uint64
}

// logAcknowledgment logs the acknowledgment that a renewal carries, once.
func (o *Owner) logAcknowledgment(s *session, r *runner.Renewal) {
	a := acknowledgment{r.To.Incarnation, r.Acknowledged}
	if a.number == 0 || a == s.acknowledged {
		return
	}
	s.acknowledged = a
	event.EndsAcknowledged.Log(o.opts.Log, slog.String("worker", s.id), slog.Uint64("number", a.number), slog.Any("incarnation", a.incarnation))
}

// logFindings logs and counts what reports said against the state.
func (o *Owner) logFindings() {
	for _, f := range o.state.TakeFindings() {
		o.opts.Metrics.findings.WithLabelValues(f.Kind.String()).Inc()
		event.ReportDisagrees.Log(o.opts.Log, slog.String("finding", f.Kind.String()), slog.String("worker", f.Worker),
			slog.Any("incarnation", f.Incarnation), slog.Any("task", f.Task), slog.Uint64("run", f.Run), slog.Uint64("number", f.Number))
	}
}
