package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["dropped"] = dropped }

// adviser is a stand-in for the service that grants tickets. It allows every minion for every
// step and answers one call at a time.
type adviser struct {
	rec     *record
	one     sync.Mutex
	mu      sync.Mutex
	tickets map[string]time.Time // ends of validity, by ticket
	calls   int
}

const (
	decideTime   = 20 * time.Millisecond
	eachTime     = 2 * time.Millisecond
	ticketsValid = 3 * time.Second
)

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step_id"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.one.Lock()
	time.Sleep(decideTime + time.Duration(len(q.Workers))*eachTime)
	a.one.Unlock()
	a.mu.Lock()
	a.calls++
	approved := [][]string{}
	for _, id := range q.Workers {
		ticket := fmt.Sprintf("%s/%s/%d", q.Step, id, a.calls)
		a.tickets[ticket] = time.Now().Add(ticketsValid)
		approved = append(approved, []string{id, ticket})
	}
	a.mu.Unlock()
	a.rec.logf("advice: %s is asked for %d minions", q.Step, len(q.Workers))
	answer(w, http.StatusOK, map[string]any{"approved": approved, "valid_ms": ticketsValid.Milliseconds()})
}

// valid reports whether a ticket is valid for a task on a minion.
func (a *adviser) valid(minion, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.HasPrefix(ticket, task[:strings.LastIndexByte(task, '.')]+"/"+minion+"/") && time.Now().Before(a.tickets[ticket])
}

// dropped submits a job with two steps to the queue that has advice. While the first step
// runs, a new manifest removes that queue's route.
func dropped(s *site, trouble bool) error {
	a := &adviser{rec: s.rec, tickets: map[string]time.Time{}}
	var err error
	if s.adviceAt, err = s.serve(a); err != nil {
		return err
	}
	s.ticket = func(minion, task, ticket string) bool {
		j, _ := s.spec(task)
		return j.Queue != "r-plan" || a.valid(minion, task, ticket)
	}
	advice := map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketsValid.Milliseconds()}
	plan, other := queue{name: "r-plan", prefix: "/plan01/", attempts: 3, advice: advice}, queue{name: "r-other", prefix: "/other1/", attempts: 3}
	s.putManifest(3, plan, other)
	if err := s.addMinions(8, 4); err != nil {
		return err
	}
	if err := s.startEdges(3, nil); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	s.workOf = func(_ *minion, task string, _ uint64) work {
		if strings.HasSuffix(task[:strings.LastIndexByte(task, '.')], ".0") {
			return work{6 * time.Second, "done"}
		}
		return work{time.Second, "done"}
	}
	first := step{Count: 4, CPU: 4000, MemMB: 4000, EstimateMS: 6000}
	second := step{Count: 4, CPU: 4000, MemMB: 4000, EstimateMS: 1000, After: []int{0}}
	j := s.newJob("r-plan", first, second)
	if !s.submit(j, 10*time.Second) {
		return errNotAccepted
	}
	beside := s.newJob("r-other", first, second)
	if !s.submit(beside, 10*time.Second) {
		return errNotAccepted
	}
	time.Sleep(2 * time.Second)
	if trouble {
		switch os.Getenv("KEEP_ADVICE") {
		case "":
			s.putManifest(7, other)
		default: // to compare: another queue with advice stays
			s.putManifest(7, other, queue{name: "r-more", prefix: "/more01/", attempts: 3, advice: advice})
		}
	}
	// The second step's turn comes 4 s later. contact_ms, the calm 4 s and the 3 s of the rule
	// are over long before the end of this wait.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && j.doneTasks() < j.tasks(); {
		time.Sleep(100 * time.Millisecond)
	}
	idleSince := time.Now()
	for end := time.Now().Add(calmFor + idleFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.running(j) > 0 || s.freeShare() < 0.5 {
			idleSince = time.Now()
		}
	}
	if done, idle := j.doneTasks(), time.Since(idleSince); done < j.tasks() && idle >= idleFor {
		s.rec.fail("LOST", "for %.1f s nothing of job %s runs, %.0f%% of the service's processors are free, and %d of its %d tasks have ended done; the second step's turn came over 20 s ago",
			idle.Seconds(), j.ID, 100*s.freeShare(), done, j.tasks())
	}
	shown := []*job{beside}
	if !trouble {
		shown = append(shown, j)
	}
	s.judgeLost(shown, finishFor)
	return nil
}
