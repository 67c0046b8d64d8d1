package control

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/admission"
)

// initAdmission creates the metrics of the admission of jobs.
func (m *Metrics) initAdmission() {
	m.backlogWork = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_backlog_core_seconds", Help: "Work before a new job, by pool and priority of its queue.",
	}, []string{"pool", "priority"})
	m.backlogWait = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_backlog_drain_seconds", Help: "Time until the work before a new job is done, by pool and priority of its queue; 0 if unknown.",
	}, []string{"pool", "priority"})
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

// setLoadOf sets the gauges of the load of a class of queues.
func (m *Metrics) setLoadOf(c admission.Class, l admission.Load) {
	priority := strconv.Itoa(c.Priority)
	m.backlogWork.WithLabelValues(c.Pool, priority).Set(float64(l.Ahead) / 1000)
	m.backlogWait.WithLabelValues(c.Pool, priority).Set(l.Wait().Seconds())
}

// clearLoads clears the gauges of all loads.
func (m *Metrics) clearLoads() {
	m.backlogWork.Reset()
	m.backlogWait.Reset()
}

// refused counts a refused job.
func (m *Metrics) refused(queue, cause string) { m.refusals.WithLabelValues(queue, cause).Inc() }
