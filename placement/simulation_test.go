package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

const (
	fakeHosts   = 12
	fakeCores   = 64
	fakeClasses = 5
	fakeServing = 8
	fakeSave    = 60
)

// scenario is what a trial of colocation is made under.
type scenario struct {
	name string
	// table seeds the hidden slowdowns, arrivals and noise.
	table uint64
	// lag is the true lag of reports; 5 s is what the Scheduler is told.
	lag int
	// seconds is how long it takes.
	seconds int
	// serving is on how many hosts the services run; 0 for fakeServing.
	serving int
	// declared is what is declared of the true sizes, as a factor.
	declared float64
}

func (sc scenario) hostsServing() int { return cmp.Or(sc.serving, fakeServing) }

// separated is on how many hosts separation has the services.
func (sc scenario) separated() int { return sc.hostsServing() / 2 }

// fakeTask is a batch job in the fake, with its true size.
type fakeTask struct {
	spec    task.Spec
	class   int
	cores   float64
	memory  float64
	work    float64
	done    float64
	saved   float64
	percent float64
	host    int
	// after is the second from which it may run again after a kill.
	after int
}

// fakeHost holds the tasks of a host and how its services fared.
type fakeHost struct {
	tasks []*fakeTask
	// instances counts the instances of each service.
	instances [2]int
	// past holds the reports that are still under way.
	past []Usage
}

// total counts the instances on a host.
func (h *fakeHost) total() int64 { return int64(h.instances[0] + h.instances[1]) }

// fakeMove is an instance of a service that moves.
type fakeMove struct {
	service int
	host    int
	until   int
}

// score is what came out of a trial.
type score struct {
	tails     []float64
	work      float64
	lost      float64
	evictions int
	kills     int
	moved     int
}

// fake is a handful of hosts with a hidden table of slowdowns.
type fake struct {
	scenario
	rng     *rand.Rand
	hurts   [2][fakeClasses]float64
	hosts   [fakeHosts]fakeHost
	waiting []*fakeTask
	tasks   map[string]*fakeTask
	score   score
	next    int
	// moves are under way; away counts them by service.
	moves []fakeMove
	away  [2]int
	moved int
}

func newFake(sc scenario, separate bool) *fake {
	f := &fake{scenario: sc, rng: rand.New(rand.NewPCG(sc.table, 1)), tasks: map[string]*fakeTask{}}
	for service := range f.hurts {
		for class := range f.hurts[service] {
			// Few classes hurt much, as the cube of a uniform.
			f.hurts[service][class] = 3 * math.Pow(f.rng.Float64(), 3)
		}
	}
	for i := range f.hosts {
		switch {
		case separate && i < sc.separated():
			f.hosts[i].instances = [2]int{2, 2}
		case !separate && i < sc.hostsServing():
			f.hosts[i].instances = [2]int{1, 1}
		}
	}
	return f
}

// free is what is left of a host by declared sizes.
func (f *fake) free(host int) infra.Resources {
	left := infra.Resources{MilliCPU: fakeCores * 1000, MemoryMB: 250_000}
	left.MilliCPU -= f.hosts[host].total() * 8000
	left.MemoryMB -= f.hosts[host].total() * 16_000
	for _, t := range f.hosts[host].tasks {
		left = left.Sub(t.spec.Resources)
	}
	return left
}

// arrive adds the jobs of one second: a wave of ten minutes, and each class
// in its own time.
func (f *fake) arrive(second int) []*fakeTask {
	wave := 1 + 0.7*math.Sin(float64(second)/600*2*math.Pi)
	var arrived []*fakeTask
	for expected := 0.45 * wave; expected > f.rng.Float64(); expected-- {
		class := f.rng.IntN(fakeClasses)
		if f.rng.IntN(2) == 0 {
			class = second / 400 % fakeClasses
		}
		t := &fakeTask{
			class: class, cores: 2 + float64(class) + 4*f.rng.Float64(), host: -1, percent: 1,
			memory: 4000 + 12_000*f.rng.Float64(), work: 60 + 240*f.rng.Float64(),
		}
		f.next++
		t.spec = task.Spec{
			ID: fmt.Sprint("job-", f.next), Team: "routes", Class: fmt.Sprint("class-", class), QoS: task.Batch,
			RunMS: int64(1000 * t.work),
			Resources: infra.Resources{
				MilliCPU: int64(1000 * t.cores * f.declared), MemoryMB: int64(t.memory * f.declared),
			},
			SubmittedUnixMS: epoch.Add(time.Duration(second) * time.Second).UnixMilli(),
		}
		// Nobody declares more than a host holds for batch.
		t.spec.Resources.MilliCPU = min(t.spec.Resources.MilliCPU, 40_000)
		t.spec.Resources.MemoryMB = min(t.spec.Resources.MemoryMB, 100_000)
		f.tasks[t.spec.ID] = t
		arrived = append(arrived, t)
	}
	return arrived
}

func (f *fake) put(t *fakeTask, host int) {
	t.host = host
	f.hosts[host].tasks = append(f.hosts[host].tasks, t)
}

func (f *fake) take(t *fakeTask) {
	h := &f.hosts[t.host]
	h.tasks = slices.DeleteFunc(h.tasks, func(o *fakeTask) bool { return o == t })
	t.host = -1
}

// stop ends a run before it is done; what was done since it was saved is lost.
func (f *fake) stop(t *fakeTask) {
	f.score.lost += (t.done - t.saved) * t.cores
	t.done, t.percent = t.saved, 1
	f.take(t)
}

// second lets a second pass on a host and returns the tasks that ended and
// those that the guard killed for memory.
func (f *fake) second(host, second int) (ended, killed []*fakeTask) {
	h := &f.hosts[host]
	used := 8 * float64(h.total()) * 0.7
	memory := 16_000 * float64(h.total())
	for _, t := range h.tasks {
		used += t.cores * t.percent
		memory += t.memory
	}
	speed := min(1, fakeCores/max(used, 1))
	usage := Usage{Host: testHost(host).Name, LatencyMS: f.latencies(h, second, max(used/fakeCores-1, 0))}
	for _, t := range h.tasks {
		usage.Jobs = append(usage.Jobs, JobUsage{
			Job: t.spec.ID, DoneMS: int64(1000 * t.done),
			Used: infra.Resources{MilliCPU: int64(1000 * t.cores * t.percent * speed), MemoryMB: int64(t.memory)},
		})
		t.done += t.percent * speed
		if t.done-t.saved >= fakeSave {
			t.saved = t.done
		}
		if memory > 250_000 {
			killed = append(killed, t)
			memory -= t.memory
		} else if t.done >= t.work {
			ended = append(ended, t)
		}
	}
	h.past = append(h.past, usage)
	return ended, killed
}

// latencies draws the latencies of a host's services.
func (f *fake) latencies(h *fakeHost, second int, overload float64) map[string]float64 {
	latency := map[string]float64{}
	for service, hurts := range f.hurts {
		if h.instances[service] == 0 {
			continue
		}
		load := 0.7 + 0.3*math.Sin(float64(second)/900+float64(service))
		// While an instance moves the others carry its load.
		load *= float64(f.hostsServing()) / float64(f.hostsServing()-f.away[service])
		log := -0.8 + 0.3*load + 2*overload + 0.08*f.rng.NormFloat64()
		for _, t := range h.tasks {
			log += hurts[t.class] * t.cores * t.percent / fakeCores
		}
		latency[fakeService(service)] = 100 * math.Exp(log)
		f.score.tails = append(f.score.tails, math.Exp(log))
	}
	return latency
}

func fakeService(i int) string { return fmt.Sprint("service-", i) }

// fakeOptions is what the Scheduler is told of the fake.
func fakeOptions() Options {
	return Options{
		Seed:         1,
		Colocation:   settings.Default().Colocation,
		ObjectivesMS: map[string]float64{fakeService(0): 100, fakeService(1): 100},
	}
}
