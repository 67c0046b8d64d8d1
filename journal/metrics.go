package journal

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	commits *prometheus.CounterVec
	rows    prometheus.Histogram
	latency prometheus.Histogram
	queue   prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless r is nil.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_journal_commits_total", Help: "Transactions by result.",
		}, []string{"result"}),
		rows: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "fireflygate_journal_commit_rows", Help: "Rows of a transaction.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "fireflygate_journal_commit_seconds", Help: "Time that a transaction took.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		queue: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_journal_queue", Help: "Entries waiting for a transaction.",
		}),
	}
	if r != nil {
		r.MustRegister(m.commits, m.rows, m.latency, m.queue)
	}
	return m
}
