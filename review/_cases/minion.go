package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1100 * time.Millisecond // the settings' heartbeat_ms
	holdMaxMS  = 10_000                  // the settings' hold_max_ms
	stopTime   = 100 * time.Millisecond  // below the settings' stop_ms
	maxPageEnd = 500
)

// work is what a run does on a minion: it ends after a time in a way. A lasting run has
// how "".
type work struct {
	takes time.Duration
	how   string
}

// activeRun is a run that hasn't ended.
type activeRun struct {
	task     string
	number   uint64
	began    time.Time
	work     work
	cpu, mem int64
	stopping bool
	timer    *time.Timer
}

// end is the end of a run.
type end struct {
	n      uint64
	task   string
	number uint64
	how    string
}

// minion is a stand-in for a machine that runs tasks. crash ends its life, and revive begins
// the next one at the same address.
type minion struct {
	s        *site
	zone     string
	labels   []string
	cpu, mem int64
	address  string

	mu       sync.Mutex
	id       string
	life     int
	up       bool
	born     time.Time
	token    uint64
	leaseEnd int64
	active   map[string]*activeRun
	ended    map[string]uint64
	ends     []end
	lastEnd  uint64
	sequence int
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
}

// begin begins a life under an ID.
func (m *minion) begin(id string) error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.address = ln.Addr().String()
	m.id, m.up, m.born, m.life = id, true, time.Now(), m.life+1
	m.token, m.leaseEnd, m.lastEnd, m.sequence = 0, 0, 0, 0
	m.active, m.ended, m.ends = map[string]*activeRun{}, map[string]uint64{}, nil
	m.changed = make(chan struct{})
	m.listener, m.server = ln, &http.Server{Handler: m.handler(m.life), ReadHeaderTimeout: 5 * time.Second}
	life, server := m.life, m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // ends with the life
	go m.beat(life, id)
	m.s.rec.logf("minion %s begins life %d at %s", id, life, m.address)
	return nil
}

// crash ends the life of the minion: it closes its port and forgets all.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	server := m.server
	lost := []string{}
	for _, r := range m.active {
		r.timer.Stop()
		lost = append(lost, r.task+" run "+strconv.FormatUint(r.number, 10))
	}
	m.active = map[string]*activeRun{}
	id := m.id
	m.mu.Unlock()
	_ = server.Close()
	slices.Sort(lost)
	m.s.rec.logf("minion %s crashes; with it ended: %s", id, strings.Join(lost, ", "))
}

// beat keeps the minion's entry in the store. It is removed after three intervals of
// silence, unless the minion is back under the same ID.
func (m *minion) beat(life int, id string) {
	for {
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			break
		}
		m.sequence++
		entry := map[string]any{
			"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(), "sequence": m.sequence,
		}
		if m.s.bornField {
			entry["born"] = m.born.UnixMilli()
		}
		m.mu.Unlock()
		m.s.store.put("servers", id, entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(3 * heartbeat)
	m.mu.Lock()
	back := m.up && m.id == id
	m.mu.Unlock()
	if !back {
		m.s.store.remove("servers", id)
	}
}

// clock returns the minion's clock; m.mu must be held.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// order is the wire format of all orders.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run_id"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
	Ticket   string `json:"ticket"`
}

func (m *minion) handler(life int) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(o *order) string) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			m.mu.Lock()
			id := m.id
			m.mu.Unlock()
			if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.expire()
			reason := "fence"
			if o.Token >= m.token {
				m.token = o.Token
				reason = f(&o)
			}
			a := map[string]any{"clock_ms": m.clock()}
			if m.s.bornField {
				a["born"] = m.born.UnixMilli()
			}
			switch {
			case reason == "429":
				answer(w, http.StatusTooManyRequests, a)
				return
			case reason != "":
				a["reason"] = reason
				answer(w, http.StatusConflict, a)
				return
			case path != "/v1/hold":
				answer(w, http.StatusOK, a)
				return
			}
			m.await(r, time.Duration(o.WaitMS)*time.Millisecond)
			if !m.up || m.life != life {
				return // the connection has ended with the life
			}
			m.expire()
			m.addReport(a)
			answer(w, http.StatusOK, a)
		})
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	handle("/v1/run-start", m.start)
	handle("/v1/run-stop", m.stop)
	handle("/v1/pace", func(*order) string { return "" })
	handle("/v1/hold", func(o *order) string {
		m.ends = slices.DeleteFunc(m.ends, func(e end) bool { return e.n <= o.LastSeen })
		m.extend(o.Until)
		return ""
	})
	return mux
}

// addReport adds the lists of runs to an answer; m.mu must be held.
func (m *minion) addReport(a map[string]any) {
	active, ended := [][]any{}, [][]any{}
	for _, r := range m.active {
		active = append(active, []any{r.task, r.number, "", r.percent(), r.cpu / 2})
	}
	for _, e := range m.ends[:min(len(m.ends), maxPageEnd)] {
		ended = append(ended, []any{e.n, e.task, e.number, e.how, ""})
		if f := m.s.listed; f != nil {
			go f(m, e)
		}
	}
	a["clock_ms"] = m.clock()
	if len(active) > 0 {
		a["active"] = active
	}
	if len(ended) > 0 {
		a["finished"] = ended
	}
}

// percent returns the progress of a run; a lasting one is at work after 300 ms.
func (r *activeRun) percent() int64 {
	elapsed := time.Since(r.began)
	if r.work.how == "" {
		return min(100, 100*elapsed.Milliseconds()/300)
	}
	return min(99, 100*elapsed.Milliseconds()/max(r.work.takes.Milliseconds(), 1))
}

// await waits until a run ends, at most for the wait time; m.mu is released meanwhile.
func (m *minion) await(r *http.Request, wait time.Duration) {
	if len(m.ends) > 0 || wait <= 0 {
		return
	}
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-changed:
	case <-timeout.C:
	case <-r.Context().Done():
	}
}

// extend extends the lease; m.mu must be held.
func (m *minion) extend(until int64) {
	m.leaseEnd = max(m.leaseEnd, min(until, m.clock()+holdMaxMS))
}

// expire ends all runs if the lease is over; m.mu must be held.
func (m *minion) expire() {
	if m.clock() < m.leaseEnd {
		return
	}
	for _, r := range m.active {
		m.finish(r, "lapsed")
	}
}

// start starts a run; m.mu must be held.
func (m *minion) start(o *order) string {
	known, ok := m.s.spec(o.Task)
	if !ok || known.Spec != o.Spec {
		m.s.rec.fail("UNASKED", "minion %s is told to start %s run %d, which no client sent", m.id, o.Task, o.Run)
	}
	m.extend(o.Until)
	if r := m.active[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.Run <= m.ended[o.Task]:
		return "old"
	case m.clock() >= min(o.Until, m.leaseEnd):
		return "late"
	}
	if m.s.ticket != nil && !m.s.ticket(m.id, o.Task, o.Ticket) {
		return "ticket"
	}
	step := known.step(o.Task)
	cpu, mem := step.CPU, step.MemMB
	if step.Fill {
		cpu = 0
	}
	usedCPU, usedMem := cpu, mem
	for _, r := range m.active {
		usedCPU, usedMem = usedCPU+r.cpu, usedMem+r.mem
	}
	if usedCPU > m.cpu || usedMem > m.mem || m.active[o.Task] != nil {
		return "room"
	}
	r := &activeRun{task: o.Task, number: o.Run, began: time.Now(), cpu: cpu, mem: mem, work: m.s.workOf(m, o.Task, o.Run)}
	life := m.life
	if r.work.how != "" {
		r.timer = time.AfterFunc(r.work.takes, func() { m.finishLater(r, life, r.work.how) })
	} else {
		r.timer = time.NewTimer(time.Hour)
	}
	m.active[o.Task] = r
	m.s.began(m, r)
	return ""
}

// finishLater ends a run if the life goes on.
func (m *minion) finishLater(r *activeRun, life int, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != life || !m.up {
		return
	}
	m.expire()
	m.finish(r, how)
}

// stop stops a run; m.mu must be held.
func (m *minion) stop(o *order) string {
	r := m.active[o.Task]
	if r == nil || r.number != o.Run {
		m.ended[o.Task] = max(m.ended[o.Task], o.Run)
		return ""
	}
	if !r.stopping {
		r.stopping = true
		life := m.life
		time.AfterFunc(stopTime, func() { m.finishLater(r, life, "stopped") })
	}
	return ""
}

// finish ends a run, if it is active; m.mu must be held.
func (m *minion) finish(r *activeRun, how string) {
	if m.active[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.active, r.task)
	m.ended[r.task] = max(m.ended[r.task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, r.task, r.number, how})
	m.s.finished(m, r, m.lastEnd, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// running returns the active runs of a job by task.
func (m *minion) running(job string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var all []string
	for _, r := range m.active {
		if strings.HasPrefix(r.task, job+".") {
			all = append(all, r.task)
		}
	}
	return all
}

// freeCPU returns the free processors, 0 while the minion is down.
func (m *minion) freeCPU() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return 0
	}
	free := m.cpu
	for _, r := range m.active {
		free -= r.cpu
	}
	return free
}
