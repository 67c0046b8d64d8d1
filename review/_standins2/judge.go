package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskSpec is what the spec of a job tells its tasks.
type taskSpec struct {
	// MS is how long a task works, and Fails is set if its program then fails.
	MS    int  `json:"ms"`
	Fails bool `json:"fails,omitempty"`
	// FailsOnce is set if the first run of the first task of each step fails.
	FailsOnce bool `json:"fails_once,omitempty"`
	// TailMS is the tail of a task that serves.
	TailMS int64 `json:"tail_ms,omitempty"`
}

// step is a step of a job on the wire.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Mem         int64  `json:"mem_mb"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`
	Fill        bool   `json:"fill_count,omitempty"`
	Gang        bool   `json:"gang,omitempty"`

	Tight         bool   `json:"tightly_coupled,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Near          string `json:"affinity,omitempty"`
	Needs         string `json:"requirements,omitempty"`
}

// job is a job of a client.
type job struct {
	id, label string
	// service and prefix are those of its queue.
	service, prefix string
	maxAttempts     int
	Spec            string `json:"spec"`
	Steps           []step `json:"steps"`
	spec            taskSpec
	// accepted is set once a client has got a 2xx response.
	accepted, cancelled bool
	tasks               map[string]*task
	running             int
	// idleSince is since when nothing of it runs.
	idleSince time.Time
	starts    int
	counts    map[string]int
	shown     string
}

// task is what the minions have seen of a task.
type task struct {
	done   bool
	failed map[uint64]bool
	active int
	starts int
	// lasts is set for a task that lasts, idleSince is since when it has no run.
	lasts     bool
	idleSince time.Time
}

// judge knows what clients sent and what minions have seen.
type judge struct {
	rec *record

	mu     sync.Mutex
	jobs   map[string]*job
	broken []string
	// gangs holds the runs of gangs that wait for members or are at work.
	gangs map[string]*gang
	// ends counts the ends that were listed, lateEnds those not taken note of within ackTime.
	ends, lateEnds int
	// cancels counts the cancels of accepted jobs, lateCancels those without a response that
	// counts within ackTime.
	cancels, lateCancels int
}

// ackTime is ack_ms.
const ackTime = 4 * time.Second

// noted counts an end that is taken note of now.
func (j *judge) noted(e *end) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends++
	if time.Since(e.listed) > ackTime {
		j.lateEnds++
	}
}

// checkAcks applies the rule Acks. The core was stable and no link disrupted all the while.
func (j *judge) checkAcks() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rec.add("ends listed: %d, not taken note of within ack_ms: %d", j.ends, j.lateEnds)
	j.rec.add("cancels of accepted jobs: %d, without 2xx or 410 within ack_ms: %d", j.cancels, j.lateCancels)
	if j.lateCancels >= 3 && 10*j.lateCancels > j.cancels {
		j.breachLocked("Acks: %d of %d cancels of accepted jobs had no 2xx or 410 after ack_ms", j.lateCancels, j.cancels)
	}
	if 5*j.lateEnds > j.ends {
		j.breachLocked("Acks: %d of %d ends that minions list weren't taken note of after ack_ms", j.lateEnds, j.ends)
	}
}

func newJudge(rec *record) *judge {
	return &judge{rec: rec, jobs: map[string]*job{}, gangs: map[string]*gang{}}
}

// breach records that a rule was broken, each text once and ten at most.
func (j *judge) breach(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breachLocked(format, args...)
}

func (j *judge) breachLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(j.broken) < 10 && !slices.Contains(j.broken, text) {
		j.broken = append(j.broken, text)
	}
}

func (j *judge) breaches() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}

// add adds a job that a client is about to send.
func (j *judge) add(x *job) {
	text, err := json.Marshal(x.spec)
	if err != nil {
		panic(err)
	}
	x.Spec = string(text)
	j.mu.Lock()
	defer j.mu.Unlock()
	x.tasks, x.counts, x.idleSince = map[string]*task{}, map[string]int{}, time.Now()
	j.jobs[x.service+"/"+x.id] = x
}

// task returns the step of a task and what its spec tells.
func (j *judge) task(m *minion, name, spec string) (*step, taskSpec, bool) {
	parts := strings.Split(name, ".")
	j.mu.Lock()
	defer j.mu.Unlock()
	x := j.jobs[m.service+"/"+parts[0]]
	if x == nil || len(parts) != 4 {
		j.breachLocked("UNASKED: a minion was told to start %s, which no client sent", name)
		return nil, taskSpec{}, false
	}
	if spec != x.Spec {
		j.breachLocked("UNASKED: a minion was told to start %s with another spec", name)
	}
	i, err := strconv.Atoi(parts[2])
	if err != nil || i < 0 || i >= len(x.Steps) {
		j.breachLocked("UNASKED: a minion was told to start %s, which no client sent", name)
		return nil, taskSpec{}, false
	}
	return &x.Steps[i], x.spec, true
}

func (j *judge) taskOf(m *minion, name string) (*job, *task) {
	x := j.jobs[m.service+"/"+strings.Split(name, ".")[0]]
	t := x.tasks[name]
	if t == nil {
		t = &task{failed: map[uint64]bool{}}
		x.tasks[name] = t
	}
	return x, t
}

func (j *judge) began(m *minion, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x, t := j.taskOf(m, r.task)
	if t.active > 0 && !r.step.Speculative {
		j.breachLocked("TWICE: %s began on %s while another run of it was at work", r.task, m.id)
	}
	if t.done && !r.step.Speculative {
		j.breachLocked("TWICE: %s began on %s after a run of it had ended done", r.task, m.id)
	}
	for _, b := range r.step.After {
		if !x.over(b) {
			j.breachLocked("ORDER: %s began before step %d was done", r.task, b)
		}
	}
	t.active++
	t.starts++
	t.lasts = r.step.LongRunning
	x.running++
	x.starts++
}

func (j *judge) ended(m *minion, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x, t := j.taskOf(m, r.task)
	t.active--
	x.running--
	x.counts[how]++
	switch how {
	case "done":
		t.done = !r.step.LongRunning
	case "failed":
		t.failed[r.number] = true
	}
	if t.active == 0 {
		t.idleSince = time.Now()
	}
	if x.running == 0 {
		x.idleSince = time.Now()
	}
}

// failsNow reports whether a run that begins fails by its own fault.
func (j *judge) failsNow(m *minion, r *run) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, t := j.taskOf(m, r.task)
	return r.spec.FailsOnce && t.starts == 1 && strings.HasSuffix(r.task, ".0")
}

// lastingIdleFor is for how long a task that lasts may have no run: 6 s after its last run, the
// 3 s of the rule begin.
const lastingIdleFor = 9 * time.Second

// watchLasting applies the rule LOST to tasks that last, at any time; it is for cases in which
// no machine, link or minion is disrupted.
func (j *judge) watchLasting(ended <-chan struct{}) {
	for {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ended:
			return
		}
		j.mu.Lock()
		for _, x := range j.jobs {
			for name, t := range x.tasks {
				if idle := time.Since(t.idleSince); x.accepted && !x.cancelled && t.lasts && t.active == 0 && idle >= lastingIdleFor {
					j.breachLocked("LOST: task %s of job %s (%s), which lasts, has had no run for 9 s", name, x.id, x.label)
				}
			}
		}
		j.mu.Unlock()
	}
}

// turnCome returns a task whose turn has come: it isn't done, has attempts left, and all
// tasks of the steps before are done.
func (x *job) turnCome() string {
	over := x.over
	for i := range x.Steps {
		if slices.ContainsFunc(x.Steps[i].After, func(b int) bool { return !over(b) }) {
			continue
		}
		if x.Steps[i].Gang && over(i) {
			continue
		}
		for k := range x.Steps[i].Count {
			name := fmt.Sprintf("%s.0.%d.%d", x.id, i, k)
			if t := x.tasks[name]; t == nil || (!t.done && t.active == 0 && len(t.failed) < x.maxAttempts) {
				return name
			}
		}
	}
	return ""
}

// over reports whether all tasks of a step are done.
func (x *job) over(i int) bool {
	for k := range x.Steps[i].Count {
		t := x.tasks[fmt.Sprintf("%s.0.%d.%d", x.id, i, k)]
		if done := t != nil && t.done; done == x.Steps[i].Gang {
			return done // one end of a gang stands for all
		}
	}
	return !x.Steps[i].Gang
}

// complete reports whether all tasks of a job are done.
func (j *judge) complete(x *job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range x.Steps {
		if !x.over(i) {
			return false
		}
	}
	return true
}

// hopeless reports whether a task of the job has used up its attempts.
func (x *job) hopeless() bool {
	for _, t := range x.tasks {
		if len(t.failed) >= x.maxAttempts {
			return true
		}
	}
	return false
}

// idleFor is for how long a job may have nothing running while a task's turn has come.
const idleFor = 3 * time.Second

// checkIdle applies the rule LOST: a job has nothing running for 3 s while a task's turn has
// come, there is capacity for it twice over, and under half of the capacity is in use. It is
// applied after finish_s.
func (j *judge) checkIdle(used, capacity int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if 2*used >= capacity {
		return
	}
	for _, x := range j.jobs {
		idle := time.Since(x.idleSince)
		if !x.accepted || x.cancelled || x.running > 0 || idle < idleFor || x.hopeless() {
			continue
		}
		if name := x.turnCome(); name != "" {
			j.breachLocked("LOST: job %s (%s) has nothing running, while the turn of %s has come and %d of %d processors are in use", x.id, x.label, name, used/1000, capacity/1000)
		}
	}
}

// runningOf returns how many tasks of some jobs run.
func (j *judge) runningOf(jobs []*job) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	sum := 0
	for _, x := range jobs {
		sum += x.running
	}
	return sum
}

// summary records what was run of each job.
func (j *judge) summary(only func(*job) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, x := range j.jobs {
		if only(x) {
			j.rec.add("job %s (%s): accepted %v, %d starts, running %d, ends %v, last shown as %q", x.id, x.label, x.accepted, x.starts, x.running, x.counts, x.shown)
		}
	}
}
