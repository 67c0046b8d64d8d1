package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// policy places the jobs of a simulation.
type policy interface {
	step(sim *simulation, now time.Time, arrived, ended, killed []*simTask)
}

// killBackoff is how long the baselines don't restart a killed job, in
// seconds.
const killBackoff = 60

// fitPolicy places jobs by declared sizes in order of submission and never
// moves them: on the first host that fits or, if bestFit is set, on the one with the
// fewest free processors. If separate is set, it uses no host of the services.
type fitPolicy struct{ bestFit, separate bool }

func (p fitPolicy) step(sim *simulation, now time.Time, arrived, _, killed []*simTask) {
	sim.waiting = append(append(sim.waiting, killed...), arrived...)
	sim.waiting = slices.DeleteFunc(sim.waiting, func(t *simTask) bool {
		if now.Before(epoch.Add(time.Duration(t.notBefore) * time.Second)) {
			return false
		}
		host := p.choose(sim, t)
		if host >= 0 {
			sim.place(t, host)
		}
		return host >= 0
	})
}

func (p fitPolicy) choose(sim *simulation, t *simTask) int {
	chosen, least := -1, int64(0)
	for host := range sim.hosts {
		free := sim.free(host)
		if p.separate && host < sim.hostsSeparated() || !t.spec.Resources.Fits(free) {
			continue
		}
		if !p.bestFit {
			return host
		}
		if chosen < 0 || free.MilliCPU < least {
			chosen, least = host, free.MilliCPU
		}
	}
	return chosen
}

// schedulerPolicy places jobs with a Scheduler.
type schedulerPolicy struct {
	s *Scheduler
	t testing.TB
}

func newSchedulerPolicy(t testing.TB, sc scenario) schedulerPolicy {
	p := schedulerPolicy{s: New(simOptions()), t: t}
	for host := range simHosts {
		h := testHost(host)
		p.s.SetHost(h)
		for service := range 2 {
			if host >= sc.hostsServing() {
				break
			}
			p.s.Adopt(task.Spec{
				ID: fmt.Sprint(simService(service), "-", host), Class: simService(service), QoS: task.LatencyCritical,
				Resources: infra.Resources{MilliCPU: 8000, MemoryMB: 16_000},
			}, h.Name)
		}
	}
	return p
}

func (p schedulerPolicy) step(sim *simulation, now time.Time, arrived, ended, killed []*simTask) {
	for _, t := range ended {
		p.s.Release(now, t.spec.ID, true)
	}
	for _, t := range killed {
		p.s.RecordOOMKill(t.spec.ID)
		p.s.Release(now, t.spec.ID, false)
	}
	for _, t := range append(killed, arrived...) {
		p.s.Enqueue(now, t.spec)
	}
	for host := range sim.hosts {
		if h := &sim.hosts[host]; len(h.reports) > sim.lag {
			u := h.reports[0]
			u.At = now
			p.s.Observe(u)
			h.reports = h.reports[1:]
		}
	}
	for _, a := range p.s.Plan(now, 100) {
		p.act(sim, now, a)
	}
}

// restartSeconds is how long a service instance that is moved is unavailable.
const restartSeconds = 10

// move stops a service instance, or starts it on its new host.
func (p schedulerPolicy) move(sim *simulation, now time.Time, a Action) {
	var service int
	if _, err := fmt.Sscanf(a.Job, "service-%d-", &service); err != nil {
		p.t.Fatalf("%s: %v", a.Job, err)
	}
	host := p.s.nodes[a.Host].position
	second := int(now.Sub(epoch) / time.Second)
	if a.Kind == Start {
		sim.moves = append(sim.moves, simMove{service: service, host: host, until: second + restartSeconds})
		return
	}
	sim.hosts[host].instances[service]--
	if sim.moving[service]++; sim.moving[service] > 1 {
		p.t.Fatalf("two instances of %s moved at the same time", simService(service))
	}
	sim.moved++
	spec := p.s.runs[a.Job].spec
	p.s.Release(now, a.Job, false)
	p.s.Enqueue(now, spec)
}

// finishMoves adds the instances whose restart is complete to their hosts.
func (sim *simulation) finishMoves(second int) {
	sim.moves = slices.DeleteFunc(sim.moves, func(m simMove) bool {
		if second < m.until {
			return false
		}
		sim.hosts[m.host].instances[m.service]++
		sim.moving[m.service]--
		return true
	})
}

func (p schedulerPolicy) act(sim *simulation, now time.Time, a Action) {
	t := sim.tasks[a.Job]
	if t == nil {
		p.move(sim, now, a)
		return
	}
	switch a.Kind {
	case Start:
		if t.host >= 0 {
			p.t.Fatalf("%s started while running on another host", a.Job)
		}
		sim.place(t, p.s.nodes[a.Host].position)
	case Throttle:
		t.cpuFraction = float64(a.CPULimit) / 100
	case Evict:
		sim.score.evictions++
		sim.stop(t)
		p.s.Release(now, a.Job, false)
		p.s.Enqueue(now, t.spec)
	}
}

// run simulates one policy, calling check after each second, and returns the
// results.
func (sim *simulation) run(p policy, check func()) score {
	for second := range sim.seconds {
		now := epoch.Add(time.Duration(second) * time.Second)
		sim.finishMoves(second)
		var ended, killed []*simTask
		for host := range sim.hosts {
			e, k := sim.simulateHost(host, second)
			ended, killed = append(ended, e...), append(killed, k...)
		}
		for _, t := range ended {
			sim.remove(t)
			sim.score.work += t.work * t.cores
			delete(sim.tasks, t.spec.ID)
		}
		for _, t := range killed {
			sim.score.kills++
			t.notBefore = second + killBackoff
			sim.stop(t)
		}
		p.step(sim, now, sim.arrive(second), ended, killed)
		check()
	}
	for _, t := range sim.tasks {
		sim.score.work += t.saved * t.cores
	}
	sim.score.moved = sim.moved
	slices.Sort(sim.score.tails)
	return sim.score
}

// tail returns a quantile of the ratio of latency to objective.
func (s score) tail(quantile float64) float64 {
	return s.tails[int(quantile*float64(len(s.tails)-1))]
}

// overObjective returns the share of samples above the objective.
func (s score) overObjective() float64 {
	at, _ := slices.BinarySearch(s.tails, 1)
	return 1 - float64(at)/float64(len(s.tails))
}

func runPolicy(t testing.TB, name string, sc scenario) score {
	sim := newSimulation(sc, name == "separation")
	switch name {
	case "first fit":
		return sim.run(fitPolicy{}, func() {})
	case "best fit":
		return sim.run(fitPolicy{bestFit: true}, func() {})
	case "separation":
		return sim.run(fitPolicy{bestFit: true, separate: true}, func() {})
	}
	p := newSchedulerPolicy(t, sc)
	return sim.run(p, func() { requireWithinCapacity(t, p.s) })
}

// TestColocation checks, for several sets of slowdowns, that fewer samples
// miss the objective than with best fit, and that evictions are few.
func TestColocation(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		sc := scenario{seed: seed, lag: 5, declaredFactor: 1, seconds: 900}
		ours, fit := runPolicy(t, "fireflygate", sc), runPolicy(t, "best fit", sc)
		if fit.overObjective() > 0.01 && ours.overObjective() > 0.75*fit.overObjective() {
			t.Errorf("seed %d: share of samples over the objective %.3f, with best fit %.3f", seed, ours.overObjective(), fit.overObjective())
		}
		if ours.evictions > 20 {
			t.Errorf("seed %d: %d evictions in 15 minutes, want at most 20", seed, ours.evictions)
		}
	}
}

// BenchmarkColocation reports the results of each policy in each scenario. Run
// it with -benchtime=1x: the results are deterministic.
func BenchmarkColocation(b *testing.B) {
	scenarios := []scenario{
		{name: "as declared", lag: 5, declaredFactor: 1},
		{name: "12 of 12 serving", lag: 5, declaredFactor: 1, serving: simHosts},
		{name: "lag doubled", lag: 10, declaredFactor: 1},
		{name: "declared x4", lag: 5, declaredFactor: 4},
		{name: "declared /4", lag: 5, declaredFactor: 0.25},
	}
	for _, seed := range []uint64{1, 2, 101, 102, 103, 104} {
		for _, sc := range scenarios {
			sc.seed, sc.seconds = seed, 2400
			for _, name := range []string{"separation", "first fit", "best fit", "fireflygate"} {
				b.Run(fmt.Sprintf("table=%d/%s/%s", seed, sc.name, name), func(b *testing.B) {
					var got score
					for b.Loop() {
						got = runPolicy(b, name, sc)
					}
					b.ReportMetric(got.tail(0.99), "p99/objective")
					b.ReportMetric(100*got.overObjective(), "%over")
					b.ReportMetric(got.work/3600, "core-hours")
					b.ReportMetric(float64(got.evictions), "evictions")
					b.ReportMetric(got.lost/3600, "lost-core-hours")
					b.ReportMetric(float64(got.kills), "kills")
					b.ReportMetric(float64(got.moved), "moved")
				})
			}
		}
	}
}
