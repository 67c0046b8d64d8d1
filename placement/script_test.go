package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

// script runs the commands of a file in testdata on a Scheduler.
type script struct {
	s   *Scheduler
	now time.Time
	t   *testing.T
}

var scriptStart = time.Date(2026, 6, 1, 5, 0, 0, 0, time.UTC)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			sc.t = t
			return sc.run(d)
		})
	})
}

func (sc *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		sc.now = scriptStart
		sc.s = New(sc.options(d))
	case "host":
		sc.s.SetHost(sc.host(d))
	case "job":
		for _, spec := range sc.specs(d) {
			sc.s.Enqueue(sc.now, spec)
		}
	case "adopt":
		for _, spec := range sc.specs(d) {
			sc.s.Adopt(spec, sc.text(d, "host"))
		}
	case "release":
		sc.s.Release(sc.now, sc.text(d, "id"), d.HasArg("done"))
	case "avoid":
		sc.s.Avoid(sc.text(d, "id"), sc.text(d, "host"))
	case "allot":
		sc.s.SetAllotment(sc.text(d, "team"), quota.Amount{MilliCPU: sc.number(d, "cpu", 0) * 1000, MemoryMB: quota.Unlimited})
	case "usage":
		for range sc.number(d, "seconds", 1) {
			sc.now = sc.now.Add(time.Second)
			sc.s.Observe(sc.usage(d))
		}
	case "why":
		return sc.s.Explain(sc.text(d, "id"))
	case "never":
		reason, never := sc.s.NeverFits(sc.specs(d)[0])
		return fmt.Sprintf("%v %s", never, reason)
	case "forecast":
		return sc.forecast()
	case "plan":
		sc.now = sc.now.Add(time.Duration(sc.number(d, "after", 0)) * time.Second)
		return sc.plan(int(sc.number(d, "limit", 100)))
	default:
		sc.t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (sc *script) plan(limit int) string {
	var b strings.Builder
	for _, a := range sc.s.Plan(sc.now, limit) {
		kind := map[ActionKind]string{Start: "start", Throttle: "throttle", Evict: "evict"}[a.Kind]
		fmt.Fprintf(&b, "%s %s on %s: %s\n", kind, a.Job, a.Host, a.Reason)
	}
	requireWithinCapacity(sc.t, sc.s)
	if b.Len() == 0 {
		return "nothing"
	}
	return b.String()
}

func (sc *script) forecast() string {
	var b strings.Builder
	for _, r := range sc.s.Forecast(sc.now) {
		fmt.Fprintf(&b, "%s %s: %s\n", r.Event, r.Verdict, r.Reason)
	}
	return b.String()
}

func (sc *script) options(d *datadriven.TestData) Options {
	o := Options{
		Seed:         1,
		Headroom:     float64(sc.number(d, "headroom", 0)) / 100,
		Teams:        map[string]settings.Team{"heavy": {Weight: 3}},
		Colocation:   settings.Default().Colocation,
		ObjectivesMS: map[string]float64{"dispatch": 100},
	}
	o.Colocation.MaxEvictionsPerMinute = int(sc.number(d, "evictions", 10))
	if d.HasArg("event") {
		o.Events = map[string]settings.Event{"rounds": {
			Start: "05:30", Services: []string{"dispatch"}, Headroom: 0.5,
			Before: settings.Duration(10 * time.Minute), After: settings.Duration(time.Hour),
		}}
	}
	return o
}

func (sc *script) host(d *datadriven.TestData) Host {
	return Host{
		Name: sc.text(d, "name"), Zone: sc.optional(d, "zone"), Rack: sc.optional(d, "rack"),
		Capacity: infra.Resources{
			MilliCPU:     sc.number(d, "cpu", 64) * 1000,
			MemoryMB:     sc.number(d, "mem", 256) * 1000,
			Accelerators: sc.number(d, "acc", 0),
		},
		Unschedulable: sc.optional(d, "unschedulable"),
	}
}

func (sc *script) specs(d *datadriven.TestData) []task.Spec {
	count := sc.number(d, "count", 1)
	specs := make([]task.Spec, count)
	for i := range specs {
		s := batchSpec(sc.text(d, "id"), sc.number(d, "cpu", 4), sc.number(d, "mem", 4))
		if count > 1 {
			s.ID += fmt.Sprint(i)
		}
		s.Resources.Accelerators = sc.number(d, "acc", 0)
		s.RunMS = sc.number(d, "run", 60) * 1000
		s.Urgent = d.HasArg("urgent")
		s.Event = sc.optional(d, "event")
		s.SubmittedUnixMS = sc.now.UnixMilli() + sc.number(d, "at", 0)
		if d.HasArg("due") {
			s.DueUnixMS = sc.now.Add(time.Duration(sc.number(d, "due", 0)) * time.Second).UnixMilli()
		}
		if d.HasArg("zone") {
			s.Zones = []string{sc.text(d, "zone")}
		}
		if d.HasArg("team") {
			s.Team = sc.text(d, "team")
		}
		if d.HasArg("critical") {
			s.QoS, s.Class, s.RunMS = task.LatencyCritical, "dispatch", 0
		}
		specs[i] = s
	}
	return specs
}

func (sc *script) usage(d *datadriven.TestData) Usage {
	u := Usage{Host: sc.text(d, "host"), At: sc.now}
	if d.HasArg("id") {
		u.Jobs = []JobUsage{{
			Job:    sc.text(d, "id"),
			Used:   infra.Resources{MilliCPU: sc.number(d, "cpu", 4) * 1000, MemoryMB: 1000},
			DoneMS: sc.number(d, "done", 0) * 1000,
		}}
	}
	if d.HasArg("latency") {
		u.LatencyMS = map[string]float64{"dispatch": float64(sc.number(d, "latency", 0))}
	}
	return u
}

func (sc *script) text(d *datadriven.TestData, key string) string {
	var v string
	d.ScanArgs(sc.t, key, &v)
	return v
}

func (sc *script) optional(d *datadriven.TestData, key string) string {
	if !d.HasArg(key) {
		return ""
	}
	return sc.text(d, key)
}

func (sc *script) number(d *datadriven.TestData, key string, otherwise int64) int64 {
	if !d.HasArg(key) {
		return otherwise
	}
	var v int64
	d.ScanArgs(sc.t, key, &v)
	return v
}
