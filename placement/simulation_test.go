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
	simHosts          = 12
	simCores          = 64
	simClasses        = 5
	simServing        = 8
	checkpointSeconds = 60
)

// scenario holds the parameters of a colocation simulation.
type scenario struct {
	name string
	// seed determines the true slowdowns, arrivals and noise.
	seed uint64
	// lag is the actual delay of reports, in seconds; the Scheduler is
	// configured with 5 s.
	lag int
	// seconds is the simulated time.
	seconds int
	// serving is the number of hosts with services; 0 means simServing.
	serving int
	// declaredFactor is the ratio of declared to true sizes.
	declaredFactor float64
}

func (sc scenario) hostsServing() int { return cmp.Or(sc.serving, simServing) }

// hostsSeparated returns the number of hosts reserved for services under
// separation.
func (sc scenario) hostsSeparated() int { return sc.hostsServing() / 2 }

// simTask is a simulated batch job with its true size.
type simTask struct {
	spec  task.Spec
	class int
	// cores and memory are the true size; memory is in megabytes.
	cores  float64
	memory float64
	// work is the run time without throttling, done the part completed and
	// saved the part in the last checkpoint, in seconds.
	work  float64
	done  float64
	saved float64
	// cpuFraction is the CPU limit as a fraction of the processors.
	cpuFraction float64
	// host is the index of the host; -1 if the job is not running.
	host int
	// notBefore is the second from which it may run again after an
	// out-of-memory kill.
	notBefore int
}

// simHost is a simulated host.
type simHost struct {
	tasks []*simTask
	// instances counts the instances of each service.
	instances [2]int
	// reports holds reports that haven't been delivered yet.
	reports []Usage
}

// total returns the number of service instances on the host.
func (h *simHost) total() int64 { return int64(h.instances[0] + h.instances[1]) }

// simMove is a service instance that is being moved.
type simMove struct {
	service int
	host    int
	until   int
}

// score holds the results of a simulation.
type score struct {
	// tails are all samples of the ratio of latency to objective.
	tails []float64
	// work is the completed work and lost the work lost by evictions and kills,
	// in core-seconds.
	work      float64
	lost      float64
	evictions int
	kills     int
	moved     int
}

// simulation simulates a few hosts with true slowdowns that the policies don't
// know.
type simulation struct {
	scenario
	rng       *rand.Rand
	slowdowns [2][simClasses]float64
	hosts     [simHosts]simHost
	waiting   []*simTask
	tasks     map[string]*simTask
	score     score
	next      int
	// moves are in flight; moving counts them by service.
	moves  []simMove
	moving [2]int
	moved  int
}

func newSimulation(sc scenario, separate bool) *simulation {
	sim := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1)), tasks: map[string]*simTask{}}
	for service := range sim.slowdowns {
		for class := range sim.slowdowns[service] {
			// The cube of a uniform value makes few classes have a large
			// effect.
			sim.slowdowns[service][class] = 3 * math.Pow(sim.rng.Float64(), 3)
		}
	}
	for i := range sim.hosts {
		switch {
		case separate && i < sc.hostsSeparated():
			sim.hosts[i].instances = [2]int{2, 2}
		case !separate && i < sc.hostsServing():
			sim.hosts[i].instances = [2]int{1, 1}
		}
	}
	return sim
}

// free returns what is left of a host by declared sizes.
func (sim *simulation) free(host int) infra.Resources {
	left := infra.Resources{MilliCPU: simCores * 1000, MemoryMB: 250_000}
	left.MilliCPU -= sim.hosts[host].total() * 8000
	left.MemoryMB -= sim.hosts[host].total() * 16_000
	for _, t := range sim.hosts[host].tasks {
		left = left.Sub(t.spec.Resources)
	}
	return left
}

// arrive returns the jobs of one second. The arrival rate varies over ten
// minutes, and each class has periods in which it dominates.
func (sim *simulation) arrive(second int) []*simTask {
	wave := 1 + 0.7*math.Sin(float64(second)/600*2*math.Pi)
	var arrived []*simTask
	for expected := 0.45 * wave; expected > sim.rng.Float64(); expected-- {
		class := sim.rng.IntN(simClasses)
		if sim.rng.IntN(2) == 0 {
			class = second / 400 % simClasses
		}
		t := &simTask{
			class: class, cores: 2 + float64(class) + 4*sim.rng.Float64(), host: -1, cpuFraction: 1,
			memory: 4000 + 12_000*sim.rng.Float64(), work: 60 + 240*sim.rng.Float64(),
		}
		sim.next++
		t.spec = task.Spec{
			ID: fmt.Sprint("job-", sim.next), Team: "routes", Class: fmt.Sprint("class-", class), QoS: task.Batch,
			RunMS: int64(1000 * t.work),
			Resources: infra.Resources{
				MilliCPU: int64(1000 * t.cores * sim.declaredFactor), MemoryMB: int64(t.memory * sim.declaredFactor),
			},
			SubmittedUnixMS: epoch.Add(time.Duration(second) * time.Second).UnixMilli(),
		}
		// Declared sizes never exceed what a host holds for batch jobs.
		t.spec.Resources.MilliCPU = min(t.spec.Resources.MilliCPU, 40_000)
		t.spec.Resources.MemoryMB = min(t.spec.Resources.MemoryMB, 100_000)
		sim.tasks[t.spec.ID] = t
		arrived = append(arrived, t)
	}
	return arrived
}

func (sim *simulation) place(t *simTask, host int) {
	t.host = host
	sim.hosts[host].tasks = append(sim.hosts[host].tasks, t)
}

func (sim *simulation) remove(t *simTask) {
	h := &sim.hosts[t.host]
	h.tasks = slices.DeleteFunc(h.tasks, func(o *simTask) bool { return o == t })
	t.host = -1
}

// stop ends a run early; its work since the last checkpoint is lost.
func (sim *simulation) stop(t *simTask) {
	sim.score.lost += (t.done - t.saved) * t.cores
	t.done, t.cpuFraction = t.saved, 1
	sim.remove(t)
}

// simulateHost simulates one second on a host and returns the tasks that ended and
// those killed for exceeding the memory.
func (sim *simulation) simulateHost(host, second int) (ended, killed []*simTask) {
	h := &sim.hosts[host]
	used := 8 * float64(h.total()) * 0.7
	memory := 16_000 * float64(h.total())
	for _, t := range h.tasks {
		used += t.cores * t.cpuFraction
		memory += t.memory
	}
	speed := min(1, simCores/max(used, 1))
	usage := Usage{Host: testHost(host).Name, LatencyMS: sim.latencies(h, second, max(used/simCores-1, 0))}
	for _, t := range h.tasks {
		usage.Jobs = append(usage.Jobs, JobUsage{
			Job: t.spec.ID, DoneMS: int64(1000 * t.done),
			Used: infra.Resources{MilliCPU: int64(1000 * t.cores * t.cpuFraction * speed), MemoryMB: int64(t.memory)},
		})
		t.done += t.cpuFraction * speed
		if t.done-t.saved >= checkpointSeconds {
			t.saved = t.done
		}
		if memory > 250_000 {
			killed = append(killed, t)
			memory -= t.memory
		} else if t.done >= t.work {
			ended = append(ended, t)
		}
	}
	h.reports = append(h.reports, usage)
	return ended, killed
}

// latencies returns random latencies of the host's services.
func (sim *simulation) latencies(h *simHost, second int, overload float64) map[string]float64 {
	latency := map[string]float64{}
	for service, slowdowns := range sim.slowdowns {
		if h.instances[service] == 0 {
			continue
		}
		load := 0.7 + 0.3*math.Sin(float64(second)/900+float64(service))
		// While an instance is moved the others carry its load.
		load *= float64(sim.hostsServing()) / float64(sim.hostsServing()-sim.moving[service])
		log := -0.8 + 0.3*load + 2*overload + 0.08*sim.rng.NormFloat64()
		for _, t := range h.tasks {
			log += slowdowns[t.class] * t.cores * t.cpuFraction / simCores
		}
		latency[simService(service)] = 100 * math.Exp(log)
		sim.score.tails = append(sim.score.tails, math.Exp(log))
	}
	return latency
}

func simService(i int) string { return fmt.Sprint("service-", i) }

// simOptions returns the options of the simulated Scheduler.
func simOptions() Options {
	return Options{
		Seed:         1,
		Colocation:   settings.Default().Colocation,
		ObjectivesMS: map[string]float64{simService(0): 100, simService(1): 100},
	}
}
