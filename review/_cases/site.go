package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service      = "dispatch"
	frontendPort = 8161
	readyPort    = 8167
	peerPort     = 8166
	clientTime   = 3 * time.Second // the clients' time limit
	callerHost   = "nony24.example"
)

// step and job are what clients send.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Fill         bool   `json:"fill_count,omitempty"`
	Image        string `json:"image,omitempty"`
}

type job struct {
	ID    string `json:"-"`
	Queue string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	mu       sync.Mutex
	done     map[string]bool
	failed   map[string]int
	accepted bool
}

// step returns the step of a task's name.
func (j *job) step(task string) step {
	n, err := strconv.Atoi(strings.Split(task, ".")[2])
	if err != nil || n >= len(j.Steps) {
		panic("task " + task)
	}
	return j.Steps[n]
}

// tasks returns the number of tasks.
func (j *job) tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// doneTasks returns the number of tasks of which a run has ended done.
func (j *job) doneTasks() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done)
}

// failedRuns returns the largest number of failed runs of a task.
func (j *job) failedRuns() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for _, n := range j.failed {
		most = max(most, n)
	}
	return most
}

// queue is a queue of the manifest.
type queue struct {
	name, prefix string
	attempts     int
	advice       map[string]any
}

// edge is one entry host: a process of the project.
type edge struct {
	name, ip, zone string
	settings, log  string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// site is a deployment on loopback addresses: entry hosts of the project with stand-ins for
// all else.
type site struct {
	rec       *record
	dir       string
	block     string
	store     *store
	storeAt   string
	adviceAt  string
	edges     []*edge
	minions   []*minion
	queues    []queue
	bornField bool // entries and answers have the field born
	// healthContract adds "health" to the contracts in the settings.
	healthContract bool
	quiet          bool // starts and ends aren't recorded one by one
	mu             sync.Mutex
	jobs           map[string]*job
	next           int
	client         *http.Client
	// workOf says what a run does; ticket checks the ticket of a start; listed is told of
	// ends in answers.
	workOf func(m *minion, task string, run uint64) work
	ticket func(minion, task, ticket string) bool
	listed func(m *minion, e end)
	starts int
}

// newSite returns a site without processes on a free range of loopback addresses.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, jobs: map[string]*job{}, store: newStore(rec), client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range 200 {
		block := fmt.Sprintf("127.%d.%d", 120+i%80, (os.Getpid()+i*7)%250)
		free := true
		for n := 10; n < 14; n++ {
			for _, port := range []int{frontendPort, readyPort, peerPort, 9464} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, n, port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			s.block = block
			break
		}
	}
	if s.block == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	s.storeAt, err = s.serve(s.store.handler())
	return s, err
}

// serve serves a stand-in on a free port.
func (s *site) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", s.block+".2:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // ends with the program
	return ln.Addr().String(), nil
}

// putManifest writes the manifest.
func (s *site) putManifest(version int, queues ...queue) {
	s.queues = queues
	var routes []map[string]any
	for _, q := range queues {
		r := map[string]any{
			"name": q.name, "host": callerHost, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": q.attempts, "stretch_factor": 2.0,
		}
		if q.advice != nil {
			r["advice"] = q.advice
		}
		routes = append(routes, r)
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.rec.logf("manifest version %d is written", version)
}

var zones = []string{"citta-alta", "borgo-palazzo", "longuelo", "colognola"}

// addMinions adds minions of 64 cores and 250 GB, perRack in each rack. Their IDs are drawn
// from the process's ID.
func (s *site) addMinions(n, perRack int) error {
	for i := range n {
		m := &minion{
			s: s, zone: zones[i/perRack%len(zones)], labels: []string{"a", fmt.Sprintf("r%d-%d", i/perRack%len(zones)+1, i/perRack)},
			cpu: 64_000, mem: 250_000, address: s.block + ".3:0",
		}
		if err := m.begin(fmt.Sprintf("i-%04x%04x", 0x1000+i*0x0357, os.Getpid()&0xffff)); err != nil {
			return err
		}
		s.minions = append(s.minions, m)
	}
	return nil
}

// startEdges writes the settings files and starts the entry hosts.
func (s *site) startEdges(n int, bounds map[string]any) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", s.block, 10+i, peerPort)))
	}
	for i := range n {
		e := &edge{name: fmt.Sprintf("edge-%s-1", zones[i]), ip: fmt.Sprintf("%s.%d", s.block, 10+i), zone: zones[i]}
		e.settings, e.log = filepath.Join(s.dir, e.name+".toml"), filepath.Join(s.dir, e.name+".log")
		if err := os.WriteFile(e.settings, []byte(s.settingsOf(e, seeds, bounds)), 0o600); err != nil {
			return err
		}
		s.edges = append(s.edges, e)
		if err := s.startEdge(e); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the text of a settings file as DEPLOY.md describes it.
func (s *site) settingsOf(e *edge, seeds []string, changed map[string]any) string {
	bounds := map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12,
		"hold_max_ms": holdMaxMS, "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
		"status_s": 120, "remote_factor": 3, "save_s": 1, "restore_ms": 250, "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2,
		"fencing_enforced": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
	}
	for k, v := range changed {
		bounds[k] = v
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"bergamo\"\n", e.name, e.ip, e.zone)
	fmt.Fprintf(&b, "port_range = [7720,7735]\nseeds = [%s]\nbootstrap = true\nfault_counted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1100\n", strings.Join(seeds, ","))
	health := ""
	if s.healthContract {
		health = "\"health\","
	}
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",%s\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"invoke\"\n", health)
	if s.adviceAt != "" {
		fmt.Fprintf(&b, "advice = %q\n", s.adviceAt)
	}
	fmt.Fprintf(&b, "[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"bergamo\"\n", z)
	}
	fmt.Fprintf(&b, "[bind_addrs]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol_plane = \"%s:%d\"\n", e.ip, frontendPort, e.ip, readyPort, e.ip, peerPort)
	fmt.Fprintf(&b, "[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\n")
	for _, k := range slices.Sorted(mapKeys(bounds)) {
		fmt.Fprintf(&b, "%s = %v\n", k, bounds[k])
	}
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\nrow_bytes = %d\ncross_shard = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\nblob_mb_s = 80.0\n", s.storeAt, rowBytes)
	return b.String()
}

// startEdge starts the process of an entry host with the command of the deploy file.
func (s *site) startEdge(e *edge) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/fireflygate-edge", "serve")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "FIREFLYGATE_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), e.cmd
	e.ended = ended
	s.rec.logf("process of %s starts", e.name)
	go func() {
		err := cmd.Wait()
		s.rec.logf("process of %s has ended: %v", e.name, err)
		close(ended)
	}()
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	for _, e := range s.edges {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill() // it may have ended
			<-e.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// awaitReady waits until all entry hosts report that they are ready.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range s.edges {
		for !s.ready(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.logf("all entry hosts are ready")
	return nil
}

func (s *site) ready(e *edge) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", e.ip, readyPort), nil)
	if err != nil {
		return false
	}
	a, err := s.client.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// call sends one request of a client to the next entry host. Status 0 means that it wasn't
// answered.
func (s *site) call(method, queueName, id string, body []byte) (int, string) {
	s.mu.Lock()
	e := s.edges[s.next%len(s.edges)]
	s.next++
	s.mu.Unlock()
	prefix := ""
	for _, q := range s.queues {
		if q.name == queueName {
			prefix = q.prefix
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, frontendPort, prefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Host = callerHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", strconv.Itoa(int(clientTime.Milliseconds())))
	a, err := s.client.Do(q)
	if err != nil {
		s.rec.logf("client: %s %s%s at %s: no answer", method, prefix, id, e.name)
		return 0, ""
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	s.rec.logf("client: %s %s%s at %s: %d %s", method, prefix, id, e.name, a.StatusCode, strings.TrimSpace(string(text)))
	return a.StatusCode, string(text)
}

// newJob registers a job that a client will submit.
func (s *site) newJob(queueName string, steps ...step) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("%08x%08x", os.Getpid(), 0x10000001+len(s.jobs))
	j := &job{ID: id, Queue: queueName, Spec: "job " + id, Steps: steps, done: map[string]bool{}, failed: map[string]int{}}
	s.jobs[id] = j
	return j
}

// submit submits a job until it is accepted, as a client does, for up to limit.
func (s *site) submit(j *job, limit time.Duration) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		status, _ := s.call(http.MethodPost, j.Queue, j.ID, body)
		if status >= 200 && status < 300 {
			j.accepted = true
			return true
		}
	}
	return false
}

// state asks for a job's state; it is empty if there was no such answer.
func (s *site) state(j *job) (int, string) {
	status, text := s.call(http.MethodGet, j.Queue, j.ID, nil)
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &a) != nil {
		return status, ""
	}
	return status, a.State
}

// spec returns the job of a task's name.
func (s *site) spec(task string) (*job, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[strings.Split(task, ".")[0]]
	return j, ok
}

// began records the start of a run.
func (s *site) began(m *minion, r *activeRun) {
	s.mu.Lock()
	s.starts++
	s.mu.Unlock()
	if !s.quiet {
		s.rec.logf("minion %s starts %s run %d", m.id, r.task, r.number)
	}
}

// finished records the end of a run.
func (s *site) finished(m *minion, r *activeRun, n uint64, how string) {
	if j, ok := s.spec(r.task); ok {
		j.mu.Lock()
		switch how {
		case "done":
			j.done[r.task] = true
		case "failed":
			j.failed[r.task]++
		}
		j.mu.Unlock()
	}
	if !s.quiet {
		s.rec.logf("minion %s lists end %d: %s run %d %s", m.id, n, r.task, r.number, how)
	}
}

// running returns the minions' runs of a job.
func (s *site) running(j *job) int {
	n := 0
	for _, m := range s.minions {
		n += len(m.running(j.ID))
	}
	return n
}

// freeShare returns the share of the service's processors that is free.
func (s *site) freeShare() float64 {
	free, all := int64(0), int64(0)
	for _, m := range s.minions {
		free, all = free+m.freeCPU(), all+m.cpu
	}
	return float64(free) / float64(all)
}

// owner returns the entry host that last wrote the owner's row, by the row's value.
func (s *site) owner() *edge {
	s.store.mu.Lock()
	value := s.store.rows[rowName{"fireflygate", "", "owner"}].Value
	s.store.mu.Unlock()
	for _, e := range s.edges {
		if bytes.Contains(value[:min(len(value), 64)], []byte(e.name)) {
			return e
		}
	}
	return nil
}
