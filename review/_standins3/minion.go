package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the minions, as in the bounds.
const (
	holdMax   = 10 * time.Second
	stopTime  = 100 * time.Millisecond
	gangWait  = 3 * time.Second
	saveEvery = time.Second
	maxEnds   = 500
)

// minion is one life of a worker.
type minion struct {
	w       *world
	id      string
	address string
	rack    string
	cpu     int
	memMB   int
	born    time.Time
	server  *http.Server

	mu sync.Mutex
	// dark is set if it answers nothing, gone once it has ended.
	dark, gone bool
	token      uint64
	until      int64
	runs       map[string]*taskRun
	// highest is the highest run of a task that was there.
	highest map[string]uint64
	ends    []end
	nextEnd uint64
	// listed counts the ends by how.
	listed map[string]int
	ended  chan struct{}
	// tail is the tail of the tasks that serve there, in milliseconds.
	tail int
	// next is the life that follows under the same ID, returns whether the minion tells when it
	// was born, as one that may start again under its ID.
	next    *minion
	returns bool
	// startLate, if set, is how much later the next start is carried out; it gets no answer.
	startLate time.Duration
	// late is called once a start is carried out late.
	late func(o *order)
}

// taskRun is a run of a task.
type taskRun struct {
	m          *minion
	task       string
	run        uint64
	cpu, memMB int
	spec       *step
	startedAt  time.Time
	stopping   bool
	percent    int
	gang       *gangRun
	// paced is the share at which it works, in percent; worked is how long it has worked.
	paced  int
	worked time.Duration
}

// end is an end that a minion lists.
type end struct {
	n    uint64
	task string
	run  uint64
	how  string
	save string
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[string]*taskRun
	whole   bool
	count   int
}

// addMinions adds minions, with a number of them on each rack.
func (w *world) addMinions(n, perRack, cpu, memMB int) error {
	for i := range n {
		if _, err := w.addMinion(fmt.Sprintf("r1-%d", i/perRack+1), cpu, memMB); err != nil {
			return err
		}
	}
	return nil
}

// addMinion adds a minion and registers it in the store.
func (w *world) addMinion(rack string, cpu, memMB int) (*minion, error) {
	ln, err := listen(w.ip())
	if err != nil {
		return nil, err
	}
	return w.startMinion(ln, rack, cpu, memMB), nil
}

// restart starts a minion again at its address after a time, as another one, and removes
// the entry of the one before.
func (m *minion) restart(after time.Duration) {
	time.AfterFunc(after, func() {
		ln, err := net.Listen("tcp", m.address)
		if err != nil {
			m.w.note("minion %s can't start again: %v", m.id, err)
			return
		}
		again := m.w.startMinion(ln, m.rack, m.cpu, m.memMB)
		m.w.store.remove("servers", m.id)
		m.w.note("minion %s starts again as %s", m.id, again.id)
	})
}

// startMinion starts a minion that serves a listener.
func (w *world) startMinion(ln net.Listener, rack string, cpu, memMB int) *minion {
	w.mu.Lock()
	id := fmt.Sprintf("i-%08x", 0x1000+len(w.minions))
	m := &minion{
		w: w, id: id, address: ln.Addr().String(), rack: rack, cpu: cpu, memMB: memMB, born: time.Now().Add(-w.uptime), returns: w.returns,
		runs: map[string]*taskRun{}, highest: map[string]uint64{}, listed: map[string]int{}, ended: make(chan struct{}),
	}
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.serve((*minion).start))
	mux.HandleFunc("POST /v1/run-stop", m.serve((*minion).stop))
	mux.HandleFunc("POST /v1/hold", m.serve((*minion).hold))
	mux.HandleFunc("POST /v1/pace", m.serve((*minion).pace))
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(ln) }()
	go m.work()
	m.register("ready")
	return m
}

// register writes its entry.
func (m *minion) register(state string) {
	entry := map[string]any{
		"service": serviceName, "address": m.address, "zone": "citta-alta", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "labels": []string{"a", m.rack}, "clock_ms": m.clock(), "sequence": 1,
	}
	if m.returns {
		entry["born"] = m.born.UnixMilli()
	}
	m.w.store.put("servers", m.id, entry)
}

// clock returns its steady clock in milliseconds.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// crash ends the minion: its runs end with it, and its port has no listener.
func (m *minion) crash() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		return
	}
	m.gone = true
	m.mu.Unlock()
	_ = m.server.Close()
	m.w.leaveGangs(m)
}

// vanish makes the minion lose its power: its runs end with it, and it answers nothing.
func (m *minion) vanish() {
	m.mu.Lock()
	m.dark, m.gone = true, true
	m.mu.Unlock()
	m.w.leaveGangs(m)
}

// forget removes its entry, as the store does after three ping intervals of silence.
func (m *minion) forget() {
	time.AfterFunc(3300*time.Millisecond, func() { m.w.store.remove("servers", m.id) })
}

// reborn makes the minion crash behind a cut and start again under its ID: its runs end with
// it, and the new life knows nothing of before. It answers nothing until the cut ends.
func (m *minion) reborn(cut time.Duration) *minion {
	again := &minion{
		w: m.w, id: m.id, address: m.address, rack: m.rack, cpu: m.cpu, memMB: m.memMB, born: time.Now(), returns: true, dark: true,
		runs: map[string]*taskRun{}, highest: map[string]uint64{}, listed: map[string]int{}, ended: make(chan struct{}), server: m.server,
	}
	m.mu.Lock()
	m.dark, m.gone, m.next = true, true, again
	m.mu.Unlock()
	m.w.leaveGangs(m)
	m.w.mu.Lock()
	m.w.minions = append(m.w.minions, again)
	m.w.mu.Unlock()
	go again.work()
	again.register("ready")
	time.AfterFunc(cut, func() {
		again.mu.Lock()
		again.dark = false
		again.mu.Unlock()
		m.w.note("minion %s: the cut ends", m.id)
	})
	return again
}

// current returns the life that an order meets now.
func (m *minion) current() *minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return m.next
	}
	return m
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run_id"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// serve returns a handler of orders. A dark minion answers none.
func (m *minion) serve(handle func(*minion, http.ResponseWriter, *order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		m := m.current()
		m.mu.Lock()
		dark := m.dark
		m.mu.Unlock()
		if dark {
			<-r.Context().Done()
			return
		}
		if r.Header.Get("X-Expect-Instance") != m.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if strings.HasSuffix(r.URL.Path, "/run-start") && m.leaveUnanswered(&o) {
			<-r.Context().Done()
			return
		}
		handle(m, rw, &o)
	}
}

// leaveUnanswered reports whether a start isn't answered, but carried out later, by the life
// that is there then.
func (m *minion) leaveUnanswered(o *order) bool {
	m.mu.Lock()
	late, called := m.startLate, m.late
	m.startLate = 0
	m.mu.Unlock()
	if late == 0 {
		return false
	}
	m.w.note("minion %s: a start of %s run %d, until_ms %d at clock %d, token %d, isn't answered", m.id, o.Task, o.Run, o.Until, m.clock(), o.Token)
	time.AfterFunc(late, func() {
		now := m.current()
		answer := httptest.NewRecorder()
		now.start(answer, o)
		m.w.note("minion %s: the start is carried out late, at clock %d: %d %s", m.id, now.clock(), answer.Code, strings.TrimSpace(answer.Body.String()))
	})
	if called != nil {
		go called(o)
	}
	return true
}

// reply sends an answer with the clock.
func (m *minion) reply(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = m.clock()
	if m.returns {
		body["born"] = m.born.UnixMilli()
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// refuse refuses an order.
func (m *minion) refuse(rw http.ResponseWriter, reason string) {
	m.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// extend takes a lease; m.mu must be held.
func (m *minion) extend(until int64) {
	m.until = max(m.until, min(until, m.clock()+holdMax.Milliseconds()))
}

// fenced reports whether a token is too low; m.mu must be held.
func (m *minion) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

func (m *minion) start(rw http.ResponseWriter, o *order) {
	s := m.w.stepOf(o.Task)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r := m.runs[o.Task]; {
	case m.fenced(o.Token):
		m.refuse(rw, "fence")
		return
	case s == nil:
		m.w.note("minion %s: start of unknown task %s", m.id, o.Task)
		m.reply(rw, http.StatusBadRequest, nil)
		return
	case r != nil && r.run == o.Run:
		m.extend(o.Until)
		m.reply(rw, http.StatusOK, nil)
		return
	case o.Run <= m.highest[o.Task]:
		m.extend(o.Until)
		m.refuse(rw, "old")
		return
	case o.Until <= m.clock():
		m.refuse(rw, "late")
		return
	case r != nil || !m.fits(s):
		m.extend(o.Until)
		m.refuse(rw, "room")
		return
	}
	m.extend(o.Until)
	m.highest[o.Task] = o.Run
	r := &taskRun{m: m, task: o.Task, run: o.Run, cpu: s.CPU, memMB: s.MemMB, spec: s, startedAt: time.Now(), paced: 100}
	m.runs[o.Task] = r
	m.w.note("minion %s: starts %s run %d", m.id, o.Task, o.Run)
	m.w.noteStart(o.Task)
	if s.Gang {
		m.w.joinGang(r)
	}
	m.reply(rw, http.StatusOK, nil)
}

// reserved returns the processors that a task takes from its minion's room.
func (s *step) reserved() int {
	if s.Fill {
		return 0
	}
	return s.CPU
}

// figure returns the last entry of a run in the list of runs; m.mu must be held.
func (r *taskRun) figure() int {
	if r.spec.TargetMS == 0 {
		return r.cpu * r.paced / 100
	}
	return r.m.tail
}

// fits reports whether there is room for a task of a step; m.mu must be held.
func (m *minion) fits(s *step) bool {
	cpu, mem := s.reserved(), s.MemMB
	for _, r := range m.runs {
		cpu, mem = cpu+r.spec.reserved(), mem+r.memMB
	}
	return cpu <= m.cpu && mem <= m.memMB
}

func (m *minion) stop(rw http.ResponseWriter, o *order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o.Token) {
		m.refuse(rw, "fence")
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.run == o.Run && !r.stopping {
		r.stopping = true
		m.w.note("minion %s: stops %s run %d", m.id, o.Task, o.Run)
		if r.percent == 100 && r.spec.LongRunning {
			m.w.noteChange(change{r.spec, r.task, false})
		}
		time.AfterFunc(stopTime, func() { m.end(r, "stopped") })
	}
	m.reply(rw, http.StatusOK, nil)
}

func (m *minion) pace(rw http.ResponseWriter, o *order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o.Token) {
		m.refuse(rw, "fence")
		return
	}
	if r := m.runs[o.Task]; r != nil && r.run == o.Run {
		r.paced = o.Percent
		m.w.note("minion %s: paces %s run %d to %d percent", m.id, o.Task, o.Run, o.Percent)
	}
	m.reply(rw, http.StatusOK, nil)
}

func (m *minion) hold(rw http.ResponseWriter, o *order) {
	m.mu.Lock()
	if m.fenced(o.Token) {
		m.refuse(rw, "fence")
		m.mu.Unlock()
		return
	}
	if o.Until > 0 {
		m.extend(o.Until)
	}
	for len(m.ends) > 0 && m.ends[0].n <= o.LastSeen {
		if m.ends[0].how == "done" {
			m.w.noteDone(m.ends[0].task)
		}
		m.ends = m.ends[1:]
	}
	ended, wait := m.ended, o.WaitMS > 0 && len(m.ends) == 0
	m.mu.Unlock()
	if wait {
		select {
		case <-ended:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark {
		return
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		active = append(active, []any{r.task, r.run, "", r.percent, r.figure()})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.save})
	}
	m.reply(rw, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

// end ends a run unless it has ended.
func (m *minion) end(r *taskRun, how string) {
	m.mu.Lock()
	if m.gone || m.runs[r.task] != r {
		m.mu.Unlock()
		return
	}
	delete(m.runs, r.task)
	m.nextEnd++
	m.listed[how]++
	m.ends = append(m.ends, end{n: m.nextEnd, task: r.task, run: r.run, how: how})
	close(m.ended)
	m.ended = make(chan struct{})
	m.mu.Unlock()
	m.w.note("minion %s: %s run %d ends %s", m.id, r.task, r.run, how)
	m.w.taskEnded(r, how)
}

// work lets the runs work until the minion ends.
func (m *minion) work() {
	const tick = 20 * time.Millisecond
	for range time.Tick(tick) {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		lapsed := m.until > 0 && m.clock() > m.until
		var over []*taskRun
		var how []string
		for _, r := range m.runs {
			switch {
			case lapsed:
				over, how = append(over, r), append(how, "lapsed")
			case r.stopping:
			case r.gang != nil:
				if h := m.w.gangEnd(r); h != "" {
					over, how = append(over, r), append(how, h)
				}
			case r.spec.LongRunning:
				if r.percent < 100 && time.Since(r.startedAt) >= r.spec.work {
					r.percent = 100
					m.w.noteChange(change{r.spec, r.task, true})
				}
			default:
				r.worked += tick * time.Duration(r.paced) / 100
				r.percent = int(min(99, 100*r.worked/max(r.spec.work, 1)))
				if r.worked >= r.spec.work {
					over, how = append(over, r), append(how, "done")
				}
			}
		}
		m.mu.Unlock()
		for i, r := range over {
			m.end(r, how[i])
		}
	}
}

// stepOf returns the step of a task, nil if no client has sent it.
func (w *world) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return nil
	}
	return &j.Steps[n]
}

// gangKey identifies a run of a gang.
func gangKey(r *taskRun) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.FormatUint(r.run, 10)
}

// joinGang adds a run to its gang, which works from the moment when all are present.
func (w *world) joinGang(r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(r)]
	if g == nil {
		g = &gangRun{members: map[string]*taskRun{}, count: r.spec.Count}
		w.gangs[gangKey(r)] = g
	}
	r.gang = g
	g.members[r.task] = r
	if len(g.members) == g.count {
		g.whole = true
		for _, member := range g.members {
			member.startedAt = time.Now()
		}
	}
}

// gangEnd returns how a member ends now, empty if it goes on.
func (w *world) gangEnd(r *taskRun) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	g, ran := r.gang, time.Since(r.startedAt)
	switch {
	case g.whole && len(g.members) < g.count && ran < r.spec.work:
		return "broken"
	case g.whole && ran >= r.spec.work:
		return "done"
	case !g.whole && ran >= gangWait:
		return "alone"
	}
	if g.whole {
		r.percent = int(min(99, 100*ran/max(r.spec.work, 1)))
	}
	return ""
}

// taskEnded removes an ended run from its gang, unless it is done.
func (w *world) taskEnded(r *taskRun, how string) {
	if r.gang == nil || how == "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(r.gang.members, r.task)
}

// leaveGangs removes the runs of a minion that has ended from their gangs.
func (w *world) leaveGangs(m *minion) {
	m.mu.Lock()
	runs := make([]*taskRun, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	m.mu.Unlock()
	for _, r := range runs {
		w.taskEnded(r, "lost")
	}
}

// running returns the number of runs of a task on minions that are up.
func (w *world) running(task string) int {
	n := 0
	for _, m := range w.minions {
		m.mu.Lock()
		if !m.gone && m.runs[task] != nil {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// minionOf returns the minion that runs a task, nil if none does.
func (w *world) minionOf(task string) *minion {
	for _, m := range w.minions {
		m.mu.Lock()
		found := !m.gone && m.runs[task] != nil
		m.mu.Unlock()
		if found {
			return m
		}
	}
	return nil
}

// noteDone notes that the owner has taken note of an end as done.
func (w *world) noteDone(task string) {
	w.note("the end of %s as done is taken note of", task)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted[task] = true
}

// noteStart notes a start of a task of which an end as done was taken note of.
func (w *world) noteStart(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.noted[task] {
		w.again++
	}
}

// noteChange adds a change of a lasting task.
func (w *world) noteChange(c change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, c)
}
