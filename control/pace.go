package control

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/event"
)

// initPace creates the metrics of slow workers.
func (m *Metrics) initPace() {
	m.slowWorkers = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_slow_workers", Help: "Workers found slow; 0 unless this host is the owner.",
	})
	m.slowMoves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_slow_worker_moves_total", Help: "Tasks moved off slow workers, by kind.",
	}, []string{"kind"})
	m.slowCopies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_slow_worker_copies_total", Help: "Copies of tasks started because the first run is on a slow worker.",
	})
}

// recordPace logs the workers that were found slow or healthy again, and counts the moves
// and copies since the last call.
func (o *Owner) recordPace() {
	if !o.opts.WorkerPace {
		return
	}
	for _, c := range o.state.TakePaceChanges() {
		event.WorkerSpeedChanged.Log(o.opts.Log, slog.String("worker", c.Worker), slog.String("found", c.Found.String()),
			slog.Float64("factor", c.Factor), slog.Int("runs", c.Runs))
	}
	now, counted := &o.state.Stats, &o.paceCounted
	o.opts.Metrics.slowMoves.WithLabelValues("serving").Add(float64(now.ServingMovedOffSlow - counted.ServingMovedOffSlow))
	o.opts.Metrics.slowMoves.WithLabelValues("best_effort").Add(float64(now.BestEffortMovedOffSlow - counted.BestEffortMovedOffSlow))
	o.opts.Metrics.slowCopies.Add(float64(now.SlowCopies - counted.SlowCopies))
	*counted = *now
}
