package ingress

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/event"
)

// reportInterval is the minimum time between two log records about refusals.
const reportInterval = time.Second

// Report counts refusals by cause and logs their numbers, at most once in reportInterval.
type Report struct {
	log   *slog.Logger
	total *prometheus.CounterVec

	mu sync.Mutex // guards the field below
	// counts are the refusals since the last log record, nil if there are none.
	counts map[Cause]int
}

// NewReport returns a report that registers its counter.
func NewReport(log *slog.Logger, r prometheus.Registerer) *Report {
	p := &Report{log: log, total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflygate_callers_limited_total",
		Help: "Callers that were refused or disconnected because of a limit, by cause.",
	}, []string{"cause"})}
	for _, c := range Causes() {
		p.total.WithLabelValues(string(c))
	}
	r.MustRegister(p.total)
	return p
}

// Observe counts a refusal.
func (p *Report) Observe(c Cause) {
	p.total.WithLabelValues(string(c)).Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[Cause]int{}
		time.AfterFunc(reportInterval, p.write)
	}
	p.counts[c]++
}

// write logs the refusals since the last record.
func (p *Report) write() {
	p.mu.Lock()
	counts := p.counts
	p.counts = nil
	p.mu.Unlock()
	var attrs []slog.Attr
	for _, c := range Causes() {
		if n := counts[c]; n > 0 {
			attrs = append(attrs, slog.Int(string(c), n))
		}
	}
	event.CallersLimited.Log(p.log, attrs...)
}

// RegisterUsage registers gauges of what callers hold of a budget.
func RegisterUsage(b *Budget, r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "fireflygate_caller_connections", Help: "Open connections of callers.",
		}, func() float64 {
			n, _ := b.Usage()
			return float64(n)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "fireflygate_caller_bytes", Help: "Memory that callers' connections and requests may hold by now.",
		}, func() float64 {
			_, n := b.Usage()
			return float64(n)
		}),
	)
}
