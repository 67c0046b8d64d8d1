package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// Metrics counts what control does. All labels are bounded by the program.
type Metrics struct {
	requests  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	orders    *prometheus.CounterVec
	ends      *prometheus.CounterVec
	commits   *prometheus.HistogramVec
	owner     prometheus.Gauge
	waiting   *prometheus.GaugeVec
	open      prometheus.Gauge
	workers   *prometheus.GaugeVec
	over      prometheus.Gauge
	cycle     prometheus.Histogram
	takeovers prometheus.Counter
	loop      *prometheus.CounterVec
	late      prometheus.Gauge
	traffic   *prometheus.GaugeVec
}

// shortBuckets are for what takes from a millisecond to some seconds.
var shortBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_job_requests_total", Help: "Requests about jobs, by method and result.",
		}, []string{"method", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "fireflygate_job_request_seconds", Help: "Time from a request about a job to its outcome.",
			Buckets: shortBuckets,
		}, []string{"method"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_orders_total", Help: "Orders to workers, by kind and answer.",
		}, []string{"kind", "answer"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_run_ends_total", Help: "Ends of runs that workers reported, by how.",
		}, []string{"how"}),
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "fireflygate_domain_commit_seconds", Help: "Time that a commit of the owner took, with its tries.",
			Buckets: shortBuckets,
		}, []string{"result"}),
		owner: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_domain_owner", Help: "1 while this host owns the domain.",
		}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflygate_tasks_waiting", Help: "Tasks that wait for a worker, by cause; 0 unless this host is the owner.",
		}, []string{"cause"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_jobs_open", Help: "Accepted jobs that aren't over.",
		}),
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflygate_domain_workers", Help: "Workers of the domain, by state.",
		}, []string{"state"}),
		over: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflygate_tails_over_target", Help: "Serving tasks whose tail is over its target.",
		}),
		cycle: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "fireflygate_plan_seconds", Help: "Time that a planning cycle took.", Buckets: shortBuckets,
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_takeovers_total", Help: "Times that this host took the domain over.",
		}),
	}
	m.loop = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_loop_seconds_total", Help: "Time that the owner's loop spent, by activity.",
	}, []string{"activity"})
	m.late = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_loop_late_seconds", Help: "Longest that a tick waited for the owner's loop in the last second.",
	})
	m.traffic = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_worker_traffic", Help: "What the owner measures of its orders and allows: seconds to wait for an answer, " +
			"of the smoothed round trip and between a report and the next look; starts under way and allowed.",
	}, []string{"what"})
	r.MustRegister(m.loop, m.late, m.traffic)
	r.MustRegister(m.requests, m.duration, m.orders, m.ends, m.commits, m.owner, m.waiting, m.open, m.workers, m.over,
		m.cycle, m.takeovers)
	return m
}

// request counts a request that is over.
func (m *Metrics) request(method string, r Result, took time.Duration) {
	m.requests.WithLabelValues(method, r.String()).Inc()
	m.duration.WithLabelValues(method).Observe(took.Seconds())
}

// order counts an order that was answered.
func (m *Metrics) order(kind string, s runner.Status) {
	m.orders.WithLabelValues(kind, s.String()).Inc()
}

// commit counts a commit of the owner.
func (m *Metrics) commit(err error, took time.Duration) {
	result := "applied"
	if err != nil {
		result = "failed"
	}
	m.commits.WithLabelValues(result).Observe(took.Seconds())
}

// state sets the gauges of a domain.
func (m *Metrics) state(s *dispatch.Summary) {
	m.open.Set(float64(s.OpenJobs))
	m.over.Set(float64(s.OverTarget))
	m.workers.WithLabelValues("usable").Set(float64(s.Usable))
	m.workers.WithLabelValues("silent").Set(float64(s.Suspected))
	m.workers.WithLabelValues("awaited").Set(float64(s.AwaitingReport))
	for cause, n := range s.WaitingByCause {
		m.waiting.WithLabelValues(dispatch.WaitCause(cause).String()).Set(float64(n)) //nolint:gosec // a few causes
	}
}

// load sets what an owner measures of itself.
func (m *Metrics) load(t flow.State, l *loopTime) {
	for a, d := range l.spent {
		m.loop.WithLabelValues(activity(a).String()).Add(d.Seconds()) //nolint:gosec // a few activities
	}
	m.late.Set(l.latest.Seconds())
	for what, v := range map[string]float64{
		"wait": t.Timeout.Seconds(), "round_trip": t.SmoothedRTT.Seconds(), "look_gap": t.PollInterval.Seconds(),
		"starts": float64(t.StartsInFlight), "start_limit": float64(t.StartLimit),
	} {
		m.traffic.WithLabelValues(what).Set(v)
	}
}

// lead marks the beginning or the end of an ownership.
func (m *Metrics) lead(owner bool) {
	if owner {
		m.owner.Set(1)
		m.takeovers.Inc()
		return
	}
	m.owner.Set(0)
	m.state(&dispatch.Summary{})
}
