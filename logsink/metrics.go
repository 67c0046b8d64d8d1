package logsink

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// MetricName is the name of the counter of log lines by outcome.
const MetricName = "fireflygate_log_lines_total"

// Register registers the counts as metrics with r.
func (s *Stats) Register(r prometheus.Registerer) {
	for outcome, n := range map[string]*atomic.Int64{
		"written": &s.Written, "folded": &s.Folded, "over_budget": &s.OverBudget, "queue_full": &s.QueueFull,
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: MetricName, Help: "Log lines, by what became of them.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 { return float64(n.Load()) }))
	}
}
