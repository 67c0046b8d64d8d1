package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/gen/configs"
	callsserver "github.com/fireflygate/fireflygate/gen/http/calls/server"
	configsserver "github.com/fireflygate/fireflygate/gen/http/configs/server"
	jobsserver "github.com/fireflygate/fireflygate/gen/http/jobs/server"
	operationsserver "github.com/fireflygate/fireflygate/gen/http/operations/server"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/outcome"
)

// Paths of the balancer's health checks.
const (
	pathHealth = "/healthz"
	pathReady  = "/readyz"
)

// operatorTimeout bounds the time to read the headers of an operator's request.
const operatorTimeout = 10 * time.Second

// Limits of the bodies that callers and operators send, in bytes.
const (
	maxJobBytes    = 64 << 10
	maxConfigBytes = 1 << 20
)

// operatorIdleTimeout closes idle connections of operators.
const operatorIdleTimeout = 2 * time.Minute

// newOperatorServer returns the HTTP server for operators.
func (g *Gate) newOperatorServer() *http.Server {
	return &http.Server{
		Handler:           ingress.Handler(g.operatorsHandler(), ingress.Options{BodyTime: gateway.BodyTime, Refuse: gateway.Refuse}),
		ReadHeaderTimeout: operatorTimeout, IdleTimeout: operatorIdleTimeout,
		ConnContext: ingress.ConnContext, ConnState: ingress.Track,
	}
}

// buildBudgets creates the budgets of callers and of operators.
func (g *Gate) buildBudgets() {
	const mb = 1 << 20
	report := ingress.NewReport(g.deps.Log, g.registry)
	h := g.local.Host
	callers := ingress.LimitsFor(h.MemoryMB*mb, h.MaxDescriptors)
	operators := ingress.OperatorLimitsFor(h.MemoryMB * mb)
	callers.TLS, operators.TLS = g.identity != nil, g.identity != nil
	g.callersBudget = ingress.NewBudget(callers, gateway.RequestLimits(), report.Observe)
	g.operatorsBudget = ingress.NewBudget(operators, gateway.RequestLimits(), report.Observe)
	ingress.RegisterUsage(g.callersBudget, g.registry)
}

// callersHandler serves calls and jobs.
func (g *Gate) callersHandler() http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	c := callsserver.New(calls.NewEndpoints(gateway.NewService(g.gateway)), mux, dec, enc, nil, formatProblem)
	c.Use(gateway.Middleware)
	c.Mount(mux)
	service := &jobsService{manager: g.batch, watcher: g.watcher}
	j := jobsserver.New(jobs.NewEndpoints(service), mux, dec, enc, nil, formatProblem)
	j.Use(ingress.WithBody(maxJobBytes, gateway.Refuse))
	j.Mount(mux)
	g.mountHealth(func(path string, h http.HandlerFunc) { mux.Handle(http.MethodGet, path, h) })
	return g.rejectWhileStarting(mux)
}

// rejectWhileStarting rejects callers' requests until the host knows the
// configuration in force. Health checks pass.
func (g *Gate) rejectWhileStarting(next http.Handler) http.Handler {
	const retryAfter = 500 * time.Millisecond
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.State() != Starting || r.URL.Path == pathHealth || r.URL.Path == pathReady {
			next.ServeHTTP(w, r)
			return
		}
		p := problem{
			Name: "unavailable", Title: "this host is starting", Outcome: outcome.NotRun.String(),
			RetryAfterMS: retryAfter.Milliseconds(),
		}
		w.Header().Set(outcome.Header, p.Outcome)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		// A write error means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(p)
	})
}

// operatorsHandler serves configuration, status, metrics and profiles. Only
// health checks need no credential.
func (g *Gate) operatorsHandler() http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	service := &configsService{store: g.store, watcher: g.watcher, accept: g.configSync.accept, hasZone: g.hasZone, log: g.deps.Log}
	c := configsserver.New(configs.NewEndpoints(service), mux, dec, enc, nil, formatProblem)
	c.Use(ingress.WithBody(maxConfigBytes, gateway.Refuse))
	c.Mount(mux)
	o := operationsserver.New(operations.NewEndpoints(&operationsService{gate: g}), mux, dec, enc, nil, formatProblem)
	o.Mount(mux)
	top := http.NewServeMux()
	top.Handle("/", mux)
	top.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	top.HandleFunc("/debug/pprof/", pprof.Index)
	top.HandleFunc("/debug/pprof/profile", pprof.Profile)
	top.HandleFunc("/debug/pprof/trace", pprof.Trace)
	var h http.Handler = top
	if g.guard != nil {
		h = g.guard.Wrap(top)
	}
	health := http.NewServeMux()
	g.mountHealth(func(path string, f http.HandlerFunc) { health.HandleFunc("GET "+path, f) })
	health.Handle("/", h)
	return health
}

// mountHealth registers the liveness and readiness checks.
func (g *Gate) mountHealth(handle func(path string, h http.HandlerFunc)) {
	handle(pathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	handle(pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if g.State() != Ready {
			http.Error(w, g.State().String(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// shutDown stops a server gracefully, or closes its connections when ctx ends.
func shutDown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
	}
}
