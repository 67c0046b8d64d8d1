package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/admission"
)

// initAdmission creates the metrics of the admission of jobs.
func (m *Metrics) initAdmission() {
	m.backlogWork = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_backlog_core_seconds", Help: "Work before a new job, by queue.",
	}, []string{"queue"})
	m.backlogWait = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_backlog_drain_seconds", Help: "Time until the work before a new job is done, by queue; 0 if unknown.",
	}, []string{"queue"})
	m.acceptedLate = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_jobs_accepted_late_total", Help: "Jobs accepted that were expected to be late, by queue.",
	}, []string{"queue"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_jobs_refused_total", Help: "Jobs refused, by queue and cause.",
	}, []string{"queue", "cause"})
	m.retryDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "fireflygate_refused_retry_seconds", Help: "Retry delays of jobs refused for lack of capacity.",
		Buckets: prometheus.LinearBuckets(1, 1, 8),
	})
}

// setQueueLoad sets the gauges of a queue's load.
func (m *Metrics) setQueueLoad(queue string, l admission.Load) {
	m.backlogWork.WithLabelValues(queue).Set(float64(l.Ahead) / 1000)
	m.backlogWait.WithLabelValues(queue).Set(l.Wait().Seconds())
}

// clearLoads clears the gauges of all queues' loads.
func (m *Metrics) clearLoads() {
	m.backlogWork.Reset()
	m.backlogWait.Reset()
}

// refused counts a refused job.
func (m *Metrics) refused(queue, cause string) { m.refusals.WithLabelValues(queue, cause).Inc() }
