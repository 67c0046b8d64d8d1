package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// Metrics holds the metrics of package control. Label values are bounded.
type Metrics struct {
	requests        *prometheus.CounterVec
	duration        *prometheus.HistogramVec
	orders          *prometheus.CounterVec
	ends            *prometheus.CounterVec
	findings        *prometheus.CounterVec
	commits         *prometheus.HistogramVec
	owner           prometheus.Gauge
	waiting         *prometheus.GaugeVec
	openJobs        prometheus.Gauge
	workers         *prometheus.GaugeVec
	tailsOverTarget prometheus.Gauge
	planDuration    prometheus.Histogram
	takeovers       prometheus.Counter
	losses          *prometheus.CounterVec
	givenUp         prometheus.Counter
	newLives        prometheus.Counter
	loopSeconds     *prometheus.CounterVec
	short           prometheus.Gauge
	cpuSeconds      *prometheus.CounterVec
	tickDelay       prometheus.Gauge
	traffic         *prometheus.GaugeVec
	zonesClosed     prometheus.Gauge
	startsHeldBack  prometheus.Counter
	detoured        prometheus.Gauge
	// withdrawn counts submissions withdrawn in outages of the table service; outage
	// is how long the current one has lasted.
	withdrawn    prometheus.Counter
	outage       prometheus.Gauge
	slowWorkers  prometheus.Gauge
	slowMoves    *prometheus.CounterVec
	slowCopies   prometheus.Counter
	shares       shareMetrics
	backlogWork  *prometheus.GaugeVec
	backlogWait  *prometheus.GaugeVec
	acceptedLate *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	retryDelay   prometheus.Histogram
	// rowsRejected counts rows that the table service has rejected for good.
	rowsRejected prometheus.Counter
}

// latencyBuckets range from a millisecond to a few seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{shares: newShareMetrics()}
	m.initRequests()
	m.initOwnership()
	m.initDomain()
	m.initLoop()
	m.initAdmission()
	m.initOutage()
	m.initPace()
	r.MustRegister(
		m.requests, m.duration, m.orders, m.ends, m.findings, m.commits, m.owner, m.takeovers, m.waiting, m.openJobs, m.workers, m.tailsOverTarget,
		m.losses, m.givenUp, m.newLives, m.zonesClosed, m.startsHeldBack, m.detoured, m.planDuration, m.loopSeconds, m.tickDelay, m.traffic,
		m.withdrawn, m.outage, m.slowWorkers, m.slowMoves, m.slowCopies,
		m.short, m.cpuSeconds,
		m.backlogWork, m.backlogWait, m.acceptedLate, m.refusals, m.retryDelay, m.rowsRejected,
	)
	r.MustRegister(m.shares.collectors()...)
	return m
}

// initRequests creates the metrics of callers' requests and of orders to workers.
func (m *Metrics) initRequests() {
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_job_requests_total", Help: "Requests about jobs, by method and result.",
	}, []string{"method", "result"})
	m.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "fireflygate_job_request_seconds", Help: "Time from a request about a job to its outcome.",
		Buckets: latencyBuckets,
	}, []string{"method"})
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_orders_total", Help: "Orders to workers, by kind and answer.",
	}, []string{"kind", "answer"})
	m.ends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_run_ends_total", Help: "Ends of runs that workers reported, by how.",
	}, []string{"how"})
	m.findings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_report_findings_total", Help: "Disagreements between workers' reports and the owner's state, by finding.",
	}, []string{"finding"})
}

// initOwnership creates the metrics of the domain's ownership and its commits.
func (m *Metrics) initOwnership() {
	m.commits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "fireflygate_domain_commit_seconds", Help: "Time that a commit of the owner took, with its tries.",
		Buckets: latencyBuckets,
	}, []string{"result"})
	m.owner = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_domain_owner", Help: "1 while this host owns the domain.",
	})
	m.rowsRejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_rows_rejected_total", Help: "Rows that the table service has rejected for good.",
	})
	m.takeovers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_takeovers_total", Help: "Times that this host took the domain over.",
	})
}

// initDomain creates the metrics of the domain's jobs, workers and zones.
func (m *Metrics) initDomain() {
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_tasks_waiting", Help: "Tasks that wait for a worker, by cause; 0 unless this host is the owner.",
	}, []string{"cause"})
	m.openJobs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_jobs_open", Help: "Accepted jobs that aren't over.",
	})
	m.workers = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_domain_workers", Help: "Workers of the domain, by state.",
	}, []string{"state"})
	m.tailsOverTarget = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_tails_over_target", Help: "Serving tasks whose tail is over its target.",
	})
	m.losses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_workers_lost_total", Help: "Workers lost with runs, by cause.",
	}, []string{"cause"})
	m.newLives = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_workers_started_again_total", Help: "Workers that have started again under their IDs.",
	})
	m.givenUp = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_jobs_given_up_total", Help: "Jobs that failed because too many workers crashed under one of their tasks.",
	})
	m.zonesClosed = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_zones_closed", Help: "Availability zones that are closed, as far as this host knows.",
	})
	m.detoured = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_workers_detoured", Help: "Workers that don't answer the owner on the usual path and are tried through other hosts.",
	})
	m.startsHeldBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_closed_zone_starts_withdrawn_total", Help: "Starts withdrawn before they were sent because their zone was closed.",
	})
}

// initLoop creates the metrics of the owner's loop and of its traffic with workers.
func (m *Metrics) initLoop() {
	m.planDuration = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "fireflygate_plan_seconds", Help: "Time that a planning cycle took.", Buckets: latencyBuckets,
	})
	m.loopSeconds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_loop_seconds_total", Help: "Time that the owner's loop spent, by activity.",
	}, []string{"activity"})
	m.tickDelay = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_loop_late_seconds", Help: "Longest that a tick waited for the owner's loop in the last second.",
	})
	m.short = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_owner_short_of_processor", Help: "1 while this host is the owner and limits the work of its planning cycles.",
	})
	m.cpuSeconds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_owner_cpu_seconds_total", Help: "Processor time of this process while it is the owner, by part: all, collector.",
	}, []string{"part"})
	m.traffic = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflygate_worker_traffic", Help: "What the owner measures of its orders and allows: seconds to wait for an answer, " +
			"of the smoothed round trip and between a report and the next look; starts under way and allowed.",
	}, []string{"what"})
}

// initOutage creates the metrics of outages of the table service.
func (m *Metrics) initOutage() {
	m.withdrawn = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflygate_submissions_withdrawn_total", Help: "Submissions withdrawn before their first commit because the store was unavailable.",
	})
	m.outage = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflygate_store_outage_seconds", Help: "How long the store has been unavailable to this host as the owner, 0 if it is available.",
	})
}

// request counts a completed request.
func (m *Metrics) request(method string, r Result, elapsed time.Duration) {
	m.requests.WithLabelValues(method, r.String()).Inc()
	m.duration.WithLabelValues(method).Observe(elapsed.Seconds())
}

// order counts an answered order.
func (m *Metrics) order(kind string, s runner.Status) {
	m.orders.WithLabelValues(kind, s.String()).Inc()
}

// commit observes the duration of an owner's commit, including retries.
func (m *Metrics) commit(err error, elapsed time.Duration) {
	result := "applied"
	if err != nil {
		result = "failed"
	}
	m.commits.WithLabelValues(result).Observe(elapsed.Seconds())
}

// setState sets the gauges of the domain's state.
func (m *Metrics) setState(s *dispatch.Summary) {
	m.openJobs.Set(float64(s.OpenJobs))
	m.tailsOverTarget.Set(float64(s.OverTarget))
	m.slowWorkers.Set(float64(s.SlowWorkers))
	m.shares.set(s)
	m.workers.WithLabelValues("usable").Set(float64(s.Usable))
	m.workers.WithLabelValues("silent").Set(float64(s.Suspected))
	m.workers.WithLabelValues("awaited").Set(float64(s.AwaitingReport))
	for cause, n := range s.WaitingByCause {
		m.waiting.WithLabelValues(dispatch.WaitCause(cause).String()).Set(float64(n)) //nolint:gosec // a few causes
	}
}

// setLoad sets the gauges of the owner's traffic, and adds the time that the
// loop spent since the last summary.
func (m *Metrics) setLoad(t flow.State, l *loopStats) {
	for a, d := range l.spent {
		m.loopSeconds.WithLabelValues(activity(a).String()).Add(d.Seconds()) //nolint:gosec // a few activities
	}
	m.tickDelay.Set(l.maxTickDelay.Seconds())
	for what, v := range map[string]float64{
		"wait": t.Timeout.Seconds(), "round_trip": t.SmoothedRTT.Seconds(), "look_gap": t.PollInterval.Seconds(),
		"starts": float64(t.StartsInFlight), "start_limit": float64(t.StartLimit),
	} {
		m.traffic.WithLabelValues(what).Set(v)
	}
}

// setShort records whether the owner is short of processor.
func (m *Metrics) setShort(short bool) {
	m.short.Set(0)
	if short {
		m.short.Set(1)
	}
}

// addCPUTime adds the processor time of the process since the last summary.
func (m *Metrics) addCPUTime(u cpuTime) {
	m.cpuSeconds.WithLabelValues("all").Add(u.process.Seconds())
	m.cpuSeconds.WithLabelValues("collector").Add(u.collector.Seconds())
}

// recordOwnership records that the ownership of the domain began or ended. At
// its end it clears the gauges of the domain's state.
func (m *Metrics) recordOwnership(owner bool) {
	if owner {
		m.owner.Set(1)
		m.takeovers.Inc()
		return
	}
	m.owner.Set(0)
	m.setState(&dispatch.Summary{})
	m.setShort(false)
	m.detoured.Set(0)
	m.clearLoads()
}
