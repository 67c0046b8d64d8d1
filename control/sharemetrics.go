package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/dispatch"
)

// shareMetrics holds the metrics of guaranteed shares. The queues are those of the
// configuration.
type shareMetrics struct {
	processors    *prometheus.GaugeVec
	reclaimed     prometheus.Counter
	reclaimedRuns prometheus.Counter
	// counted and countedRuns are what the counters have of the current owner.
	counted, countedRuns uint64
}

func newShareMetrics() shareMetrics {
	return shareMetrics{
		processors: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflygate_queue_processors", Help: "Requested processors of the queues of pools with guaranteed shares.",
		}, []string{"queue", "what"}),
		reclaimed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_reclaimed_processors_total", Help: "Requested processors of the runs stopped for queues below their guaranteed shares.",
		}),
		reclaimedRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_reclaimed_runs_total", Help: "Runs stopped for queues below their guaranteed shares.",
		}),
	}
}

// collectors returns the metrics to register.
func (m *shareMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.processors, m.reclaimed, m.reclaimedRuns}
}

// set sets the gauges and adds what was reclaimed since the last summary of the owner.
func (m *shareMetrics) set(s *dispatch.Summary) {
	m.processors.Reset()
	for _, q := range s.Shares {
		for what, milliCPU := range map[string]int64{"share": q.Entitled, "used": q.Used, "lent": q.Lent, "claim": q.Claim} {
			m.processors.WithLabelValues(q.Queue, what).Set(float64(milliCPU) / 1000)
		}
	}
	if s.Stats.Reclaimed < m.countedRuns || s.Stats.ReclaimedMilliCPU < m.counted {
		m.counted, m.countedRuns = 0, 0 // another owner
	}
	m.reclaimed.Add(float64(s.Stats.ReclaimedMilliCPU-m.counted) / 1000)
	m.reclaimedRuns.Add(float64(s.Stats.Reclaimed - m.countedRuns))
	m.counted, m.countedRuns = s.Stats.ReclaimedMilliCPU, s.Stats.Reclaimed
}
