package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

// fleet is a Scheduler filled with hosts and jobs for a benchmark.
type fleet struct {
	s    *Scheduler
	rng  *rand.Rand
	now  time.Time
	next int
	ids  []string
}

func newFleet(hosts int) *fleet {
	o := Options{Seed: 1, ObjectivesMS: map[string]float64{}}
	for i := range 4 {
		o.ObjectivesMS[fmt.Sprint("service-", i)] = 100
	}
	o.Colocation.UsageLag = settings.Default().Colocation.UsageLag
	f := &fleet{s: New(o), rng: rand.New(rand.NewPCG(1, 0)), now: epoch}
	for i := range hosts {
		f.s.SetHost(testHost(i))
	}
	return f
}

// spec returns a random job: 1 to 8 cores with 2 to 5 GB each, nearly half of
// them latency-critical, from 46 teams.
func (f *fleet) spec() task.Spec {
	f.next++
	cores := 1 + f.rng.Int64N(8)
	s := task.Spec{
		ID: fmt.Sprint("job-", f.next), Team: fmt.Sprint("team-", f.rng.IntN(46)),
		Class: fmt.Sprint("class-", f.rng.IntN(8)), QoS: task.Batch, RunMS: 600_000,
		Resources: infra.Resources{MilliCPU: cores * 1000, MemoryMB: cores * (2000 + f.rng.Int64N(3000))},
		// Submitted long ago, so that interference doesn't delay the
		// placement.
		SubmittedUnixMS: f.now.Add(-24 * time.Hour).UnixMilli(),
	}
	if f.rng.IntN(20) < 9 {
		s.Class, s.QoS, s.RunMS = fmt.Sprint("service-", f.rng.IntN(4)), task.LatencyCritical, 0
	}
	return s
}

// fill places jobs until the given share of the processors is reserved, and then
// reports random latencies of all hosts.
func (f *fleet) fill(share float64) {
	var used int64
	for used < int64(share*float64(f.s.capacity.MilliCPU)) {
		spec := f.spec()
		f.s.Enqueue(f.now, spec)
		if len(f.s.Plan(f.now, 1)) == 0 {
			f.s.Withdraw(spec.ID)
			return
		}
		used += spec.Resources.MilliCPU
		f.ids = append(f.ids, spec.ID)
	}
	for _, n := range f.s.order {
		u := Usage{Host: n.host.Name, At: f.now, LatencyMS: map[string]float64{}}
		for i := range 4 {
			u.LatencyMS[fmt.Sprint("service-", i)] = 40 + 40*f.rng.Float64()
		}
		f.s.Observe(u)
	}
}

// replaceJob releases one job, decides on another and returns the time that
// the decision takes.
func (f *fleet) replaceJob(decide func(task.Spec) bool) time.Duration {
	index := f.rng.IntN(len(f.ids))
	f.s.Release(f.now, f.ids[index], false)
	spec := f.spec()
	begin := time.Now()
	placed := decide(spec)
	took := time.Since(begin)
	if placed {
		f.ids[index] = spec.ID
		return took
	}
	f.s.Withdraw(spec.ID)
	f.ids[index] = f.ids[len(f.ids)-1]
	f.ids = f.ids[:len(f.ids)-1]
	return took
}

func (f *fleet) indexed(spec task.Spec) bool {
	f.s.Enqueue(f.now, spec)
	return len(f.s.Plan(f.now, 1)) == 1
}

// scan decides with the same filters and scores as Scheduler, but examines
// each host.
func (f *fleet) scan(spec task.Spec) bool {
	j := &pending{spec: spec}
	q := f.s.request(f.now, j)
	f.s.candidates = f.s.candidates[:0]
	for _, n := range f.s.order {
		if q.filter(n) == Feasible {
			f.s.candidates = append(f.s.candidates, n)
		}
	}
	if len(f.s.candidates) == 0 {
		return false
	}
	n, _ := f.s.best(&q, f.s.candidates)
	f.s.occupy(&run{spec: spec, size: q.size, cpuLimit: fullCPU}, n)
	return true
}

func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{65, 650, 4300} {
		for _, full := range []int{50, 95} {
			f := newFleet(hosts)
			f.fill(float64(full) / 100)
			deciders := map[string]func(task.Spec) bool{"indexed": f.indexed, "scan": f.scan}
			for _, how := range []string{"indexed", "scan"} {
				b.Run(fmt.Sprintf("hosts=%d/full=%d/%s", hosts, full, how), func(b *testing.B) {
					var took []time.Duration
					b.ReportAllocs()
					for b.Loop() {
						took = append(took, f.replaceJob(deciders[how]))
					}
					slices.Sort(took)
					b.ReportMetric(float64(took[len(took)/2]), "p50-ns")
					b.ReportMetric(float64(took[len(took)*99/100]), "p99-ns")
				})
			}
		}
	}
}

// BenchmarkBacklog runs plans that place nothing, with jobs of all sizes
// waiting while the hosts are full.
func BenchmarkBacklog(b *testing.B) {
	for _, waiting := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			f := newFleet(4300)
			for i := range 4300 {
				f.s.Adopt(batchSpec(fmt.Sprint("whole-", i), 64, 250), testHost(i).Name)
			}
			for range waiting {
				f.s.Enqueue(f.now, f.spec())
			}
			for b.Loop() {
				if got := f.s.Plan(f.now, 100); len(got) > 0 {
					b.Fatalf("%v placed on full hosts", got)
				}
			}
		})
	}
}

// BenchmarkMemory reports the memory per host and per running task.
func BenchmarkMemory(b *testing.B) {
	for _, hosts := range []int{65, 650, 4300} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := newFleet(hosts)
				empty := heapBytes()
				tasks := 40_000 * hosts / 4300
				for range tasks {
					f.s.Adopt(f.spec(), testHost(f.rng.IntN(hosts)).Name)
				}
				full := heapBytes()
				b.ReportMetric(float64(empty-before)/float64(hosts), "B/host")
				b.ReportMetric(float64(full-empty)/float64(tasks), "B/task")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
