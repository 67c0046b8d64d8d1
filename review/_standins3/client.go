package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Route of the only queue.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	queueName   = "r-wrr6x73"
	serviceName = "huvo11a"
)

// job is a job that a client has handed in, with what the minions know of its images.
type job struct {
	ID    string
	Steps []step
}

// step is a step of a job. The fields with names on the wire are those that a client sends.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMS    int64  `json:"estimate_ms"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Label         string `json:"requirements,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"target_ms,omitempty"`
	Fill          bool   `json:"fill_count,omitempty"`
	Miss          *int   `json:"miss_allowance,omitempty"`
	// work is how long a task works.
	work time.Duration
}

// call makes an HTTP call. Each uses a connection of its own.
func call(limit time.Duration, method, url, host string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	r.Host, r.Close = host, true
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	return answer.StatusCode, got, err
}

// writeManifest writes the manifest with one queue, as the operator.
func (w *world) writeManifest(version, maxAttempts int) {
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": queueName, "host": routeHost, "path_prefix": routePrefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 0, "service": serviceName, "max_attempts": maxAttempts, "stretch_factor": 2.0,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// request makes a request of a client about a job at an entry host.
func (w *world) request(h *host, method, id string, body any) (int, string) {
	status, text, err := call(3*time.Second, method, "http://"+h.frontend+routePrefix+id, routeHost, body)
	if err != nil {
		w.note("client: %s %s at %s: no answer: %v", method, id, h.name, err)
		return 0, ""
	}
	w.note("client: %s %s at %s: %d %s", method, id, h.name, status, bytes.TrimSpace(text))
	return status, string(text)
}

// submit hands a job in, and tries again as clients do. It returns an error if it isn't
// accepted.
func (w *world) submit(j *job) error {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	for try := range 5 {
		h := w.hosts[try%len(w.hosts)]
		if status, _ := w.request(h, "POST", j.ID, map[string]any{"spec": "spec of " + j.ID, "steps": j.Steps}); status == 200 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s isn't accepted", j.ID)
}

// state asks for the state of a job, empty without one.
func (w *world) state(j *job) string {
	for _, h := range w.hosts {
		status, text := w.request(h, "GET", j.ID, nil)
		var a struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &a) == nil {
			return a.State
		}
		if status == 410 {
			return "410"
		}
	}
	return ""
}
