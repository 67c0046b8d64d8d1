package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// The smallest limits of a host with which it can serve.
const (
	minMemoryMB    = 64
	minDescriptors = 256
)

// reporter is called with the dotted key of each invalid value and the expected
// value.
type reporter func(key, want string)

// validate checks ranges, required values and references between sections.
func validate(s Settings, scope Scope, report reporter) {
	if scope == Process {
		validateHost(s.Host, report)
		validatePlatform(s.Platform, report)
	}
	validateLease(s.Lease, report)
	validateCalls(s.Calls, s.Lease, report)
	validateBatch(s.Batch, s.Lease, report)
	validateColocation(s.Colocation, report)
	for _, name := range sortedKeys(s.Services) {
		validateService("services."+name, s.Services[name], report)
	}
	for _, name := range sortedKeys(s.Classes) {
		positive(report, "classes."+name+".latency", s.Classes[name].Latency)
	}
	for _, name := range sortedKeys(s.Teams) {
		validateTeam("teams."+name, s.Teams[name], report)
	}
	for _, name := range sortedKeys(s.Events) {
		validateEvent("events."+name, s.Events[name], s.Services, report)
	}
	validateZones(s.Zones, report)
	for _, name := range sortedKeys(s.Objectives) {
		validateObjective("objectives."+name, s.Objectives[name], s.Services, report)
	}
}

func validateHost(h Host, report reporter) {
	required(report, "host.name", h.Name)
	required(report, "host.zone", h.Zone)
	address(report, "host.listen", h.Listen)
	address(report, "host.operators", h.Operators)
	address(report, "host.peer", h.Peer)
	if h.Secret == "" && !loopback(h.Operators) {
		report("host.secret", "expected a file with the operators' credential, since host.operators is not on loopback")
	}
	if h.MemoryMB < minMemoryMB {
		report("host.memory_mb", "expected at least 64")
	}
	if h.MaxDescriptors < minDescriptors {
		report("host.max_descriptors", "expected at least 256")
	}
	positive(report, "host.drain_timeout", h.DrainTimeout)
	if h.DrainDelay < 0 || h.DrainDelay >= h.DrainTimeout {
		report("host.drain_delay", "expected a duration shorter than host.drain_timeout")
	}
	validateTLS(h.TLS, report)
}

func validateTLS(t TLS, report reporter) {
	if t.Certificate == "" && t.Key == "" && t.Authorities == "" {
		return
	}
	required(report, "host.tls.certificate", t.Certificate)
	required(report, "host.tls.key", t.Key)
	required(report, "host.tls.authorities", t.Authorities)
}

func validatePlatform(p Platform, report reporter) {
	baseURL(report, "platform.table", p.Table)
	baseURL(report, "platform.objects", p.Objects)
	baseURL(report, "platform.members", p.Members)
	positive(report, "platform.timeout", p.Timeout)
	positive(report, "platform.members_interval", p.MembersInterval)
	positive(report, "platform.config_interval", p.ConfigInterval)
}

func validateLease(l Lease, report reporter) {
	positive(report, "lease.session", l.Session)
	positive(report, "lease.renew", l.Renew)
	if l.Renew.D() > 0 && l.Session.D() < 3*l.Renew.D() {
		report("lease.session", "expected at least three times lease.renew, so that one lost renewal does not end the session")
	}
	positive(report, "lease.max_run", l.MaxRun)
	positive(report, "lease.task_lease", l.TaskLease)
	inRange(report, "lease.clock_rate", l.ClockRate, 0, 0.5)
	atLeast(report, "lease.successors", int64(l.Successors), 1)
	atLeast(report, "lease.endpoint_shards", int64(l.EndpointShards), 1)
	atLeast(report, "lease.worker_shards_per_zone", int64(l.WorkerShardsPerZone), 1)
}

func validateCalls(c Calls, l Lease, report reporter) {
	positive(report, "calls.timeout", c.Timeout)
	positive(report, "calls.booking_window", c.BookingWindow)
	atLeast(report, "calls.max_body", c.MaxBody, 1)
	atLeast(report, "calls.queue", int64(c.Queue), 0)
	atLeast(report, "calls.connections_per_caller", int64(c.ConnectionsPerCaller), 1)
	inRange(report, "calls.retry_budget", c.RetryBudget, 0, 1)
	if c.BookingWindow.D() < l.Session.D() {
		report("calls.booking_window", "expected longer than lease.session")
	}
}

func validateBatch(b Batch, l Lease, report reporter) {
	positive(report, "batch.exchange", b.Exchange)
	if b.Exchange.D() > 0 && l.TaskLease.D() < 3*b.Exchange.D() {
		report("batch.exchange", "expected at most a third of lease.task_lease")
	}
	if b.CommitDelay.D() < 0 {
		report("batch.commit_delay", "expected a duration of 0 or more")
	}
	atLeast(report, "batch.commit_rows", int64(b.CommitRows), 1)
	inRange(report, "batch.headroom", b.Headroom, 0, 0.9)
	atLeast(report, "batch.max_failures", int64(b.MaxFailures), 1)
	atLeast(report, "batch.quarantine_after", int64(b.QuarantineAfter), 1)
	positive(report, "batch.quarantine_for", b.QuarantineFor)
}

func validateColocation(c Colocation, report reporter) {
	positive(report, "colocation.usage_lag", c.UsageLag)
	if c.ThrottlePercent < 1 || c.ThrottlePercent > 100 {
		report("colocation.throttle_percent", "expected 1 to 100")
	}
	if c.EvictAfter.D() <= c.UsageLag.D() {
		report("colocation.evict_after", "expected longer than colocation.usage_lag")
	}
	atLeast(report, "colocation.max_evictions_per_minute", int64(c.MaxEvictionsPerMinute), 0)
}

func validateService(path string, s Service, report reporter) {
	atLeast(report, path+".slots", int64(s.Slots), 1)
	atLeast(report, path+".connections", int64(s.Connections), 1)
	if s.Connections < s.Slots {
		report(path+".connections", "expected at least as many as slots")
	}
	known := []string{"GET", "PUT", "PATCH", "POST", "DELETE"}
	for _, m := range s.IdempotentMethods {
		if !slices.Contains(known, m) {
			report(path+".idempotent_methods", "expected HTTP methods such as \"GET\"")
		}
	}
}

func validateTeam(path string, t Team, report reporter) {
	if t.Weight <= 0 {
		report(path+".weight", "expected a number above 0")
	}
	atLeast(report, path+".milli_cpu", t.MilliCPU, 0)
	atLeast(report, path+".memory_mb", t.MemoryMB, 0)
}

func validateEvent(path string, e Event, services map[string]Service, report reporter) {
	if _, err := e.Next(time.Unix(0, 0)); err != nil {
		report(path+".start", "expected a time such as \"2026-12-03T06:00:00+01:00\", or \"06:00\" with a location such as \"Europe/Rome\"")
	}
	inRange(report, path+".headroom", e.Headroom, 0, 0.9)
	for _, name := range e.Services {
		knownService(report, path+".services", name, services)
	}
}

func validateObjective(path string, o Objective, services map[string]Service, report reporter) {
	knownService(report, path+".service", o.Service, services)
	positive(report, path+".latency", o.Latency)
	positive(report, path+".period", o.Period)
	if o.Target <= 0 || o.Target >= 1 {
		report(path+".target", "expected a share between 0 and 1, such as 0.99")
	}
}

func knownService(report reporter, key, name string, services map[string]Service) {
	if _, ok := services[name]; !ok {
		report(key, "expected the name of a service under [services]")
	}
}

func required(report reporter, key, value string) {
	if value == "" {
		report(key, "expected a value; it has no default")
	}
}

func address(report reporter, key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		report(key, "expected an IP number and port, such as \"127.0.0.1:7100\"")
	}
}

func loopback(value string) bool {
	a, err := netip.ParseAddrPort(value)
	return err != nil || a.Addr().IsLoopback()
}

func baseURL(report reporter, key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		report(key, "expected a URL such as \"http://127.0.0.1:7300\"")
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		report(key, "expected a URL with an IP number, such as \"http://127.0.0.1:7300\"")
	}
}

func positive(report reporter, key string, d Duration) {
	if d <= 0 {
		report(key, "expected a duration above 0, such as \"250ms\"")
	}
}

func atLeast(report reporter, key string, v, low int64) {
	if v < low {
		report(key, "expected a whole number of "+formatInt(low)+" or more")
	}
}

func inRange(report reporter, key string, v, low, high float64) {
	if v < low || v > high {
		report(key, "expected a number from "+formatFloat(low)+" to "+formatFloat(high))
	}
}
