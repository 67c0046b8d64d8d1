package batch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/infra"
)

// metrics are the manager's metrics.
type metrics struct {
	pending   prometheus.Gauge
	running   prometheus.Gauge
	starts    prometheus.Counter
	evictions prometheus.Counter
	ends      *prometheus.CounterVec
	latency   *prometheus.HistogramVec
}

// newMetrics registers the metrics; r may be nil.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_batch_pending", Help: "Jobs waiting to be placed.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_batch_running", Help: "Jobs that occupy a worker.",
		}),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_batch_starts_total", Help: "Starts made durable.",
		}),
		evictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_batch_evictions_total", Help: "Evictions asked for.",
		}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_batch_ends_total", Help: "Ends of runs by kind.",
		}, []string{"kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "fireflygate_batch_start_seconds", Help: "Time from pending to running.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 16),
		}, []string{"urgent"}),
	}
	if r != nil {
		r.MustRegister(m.pending, m.running, m.starts, m.evictions, m.ends, m.latency)
	}
	return m
}

// observeStart records the time from pending to running.
func (m *metrics) observeStart(d time.Duration, urgent bool) {
	label := "no"
	if urgent {
		label = "yes"
	}
	m.latency.WithLabelValues(label).Observe(d.Seconds())
}

// otherEnd is the label of ends with an unknown state.
const otherEnd = "other"

// countEnd counts the end of a run. Unknown states share one label, so that a
// faulty worker can't create an unbounded number of labels.
func (m *metrics) countEnd(state infra.RunState) {
	label := otherEnd
	switch state {
	case infra.RunDone, infra.RunFailed, infra.RunKilled, infra.RunStopped, infra.RunExpired, infra.RunRefused:
		label = string(state)
	}
	m.ends.WithLabelValues(label).Inc()
}
