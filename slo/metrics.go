package slo

import "github.com/prometheus/client_golang/prometheus"

// metrics holds this host's counters by objective. The configuration limits
// the number of objectives.
type metrics struct {
	good, total *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		good: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_objective_good_calls_total", Help: "Calls that met the objective.",
		}, []string{"objective"}),
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_objective_calls_total", Help: "Calls that count for the objective.",
		}, []string{"objective"}),
	}
	if r != nil {
		r.MustRegister(m.good, m.total)
	}
	return m
}

func (m *metrics) add(objective string, good, total int64) {
	m.good.WithLabelValues(objective).Add(float64(good))
	m.total.WithLabelValues(objective).Add(float64(total))
}
