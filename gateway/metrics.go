package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/outcome"
)

// metrics holds the Prometheus metrics of a gateway.
type metrics struct {
	registerer prometheus.Registerer
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	forwards   *prometheus.CounterVec
	retries    prometheus.Counter
	ejections  prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	m := &metrics{
		registerer: r,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_requests_total",
			Help: "Interactive requests by service, outcome and reason of a refusal.",
		}, []string{"service", "outcome", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:                           "fireflygate_request_duration_seconds",
			Help:                           "Time from arrival to the answer or refusal.",
			Buckets:                        []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
			NativeHistogramBucketFactor:    1.1,
			NativeHistogramMaxBucketNumber: 100,
		}, []string{"service", "outcome"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflygate_forwards_total",
			Help: "Requests forwarded to peers by outcome.",
		}, []string{"outcome"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_retries_total",
			Help: "Repeated tries of interactive requests.",
		}),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflygate_endpoint_ejections_total",
			Help: "Endpoints ejected as outliers.",
		}),
	}
	r.MustRegister(m.requests, m.duration, m.forwards, m.retries, m.ejections)
	return m
}

// registerGauges registers the gauges that read the gateway's state.
func (m *metrics) registerGauges(g *Gateway) {
	gauge := func(name, help string, read func() float64) {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return read()
		}))
	}
	gauge("fireflygate_slots_in_use", "Slots of own endpoints in use.", func() float64 {
		return float64(g.pool.InUse(""))
	})
	gauge("fireflygate_queue_length", "Requests that wait for a slot.", func() float64 {
		n := 0
		for _, q := range g.queues {
			n += q.Len()
		}
		return float64(n)
	})
	gauge("fireflygate_retry_budget", "Retries that may be made now.", func() float64 {
		return g.budget.Available()
	})
	gauge("fireflygate_endpoints_ejected", "Endpoints ejected now.", func() float64 {
		return float64(g.pool.Ejected(time.Now()))
	})
}

func (m *metrics) observeRequest(service string, took time.Duration, r outcome.Refusal) {
	kind := r.Kind.String()
	m.requests.WithLabelValues(service, kind, r.Reason).Inc()
	m.duration.WithLabelValues(service, kind).Observe(took.Seconds())
}
