package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a21_00000000+lastID.Add(1)*0x9e3779) }

// retries is how often a client asks again.
const retries = 4

// submit hands a job in, at another host after each response that doesn't accept it.
func (s *site) submit(q *queue, x *job) bool {
	if x.id == "" {
		x.id = newID()
	}
	x.maxAttempts, x.service, x.prefix = q.attempts, q.service, q.prefix
	s.judge.add(x)
	body, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	first := rand.IntN(len(s.hosts))
	for try := range retries + 1 {
		h := s.hosts[(first+try)%len(s.hosts)]
		status, text, took := s.ask(h, "POST", q.prefix+x.id, string(body))
		s.rec.add("POST %s (%s) at %s: %d %s after %d ms", x.id, x.label, h.name, status, text, took.Milliseconds())
		if status/100 == 2 {
			s.judge.mu.Lock()
			x.accepted = true
			s.judge.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// cancelLater cancels an accepted job some time later, at one host after another until it is
// acknowledged.
func (s *site) cancelLater(q *queue, x *job, after time.Duration) {
	if !s.submit(q, x) {
		return
	}
	time.Sleep(after)
	s.judge.mu.Lock()
	x.cancelled = true
	s.judge.cancels++
	s.judge.mu.Unlock()
	begun := time.Now()
	for try := rand.IntN(len(s.hosts)); time.Since(begun) < ackTime; try++ {
		h := s.hosts[try%len(s.hosts)]
		status, _, took := s.ask(h, "DELETE", q.prefix+x.id, "")
		s.rec.add("DELETE %s (%s) at %s: %d after %d ms", x.id, x.label, h.name, status, took.Milliseconds())
		if (status/100 == 2 || status == 410) && time.Since(begun) <= ackTime {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.judge.mu.Lock()
	s.judge.lateCancels++
	s.judge.mu.Unlock()
}

// traffic hands jobs in at intervals until the given time.
func (s *site) traffic(until time.Time, every time.Duration, next func(i int) (*queue, *job)) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for i := 0; time.Now().Before(until); i++ {
			q, x := next(i)
			all.Add(1)
			go func() {
				defer all.Done()
				s.submit(q, x)
			}()
			time.Sleep(every)
		}
	}()
	return &all
}

// settle waits for finish_s after the end of the traffic, asks for all accepted jobs, and
// applies the rule LOST for some seconds.
func (s *site) settle() {
	s.rec.add("the traffic has ended")
	time.Sleep(finish)
	s.rec.add("finish_s later: asking for the jobs")
	capacity := int64(0)
	for _, m := range s.minions {
		capacity += m.cpu
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.askAll()
	}()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		used := int64(0)
		for _, m := range s.minions {
			used += m.used()
		}
		s.judge.checkIdle(used, capacity)
	}
	<-done
}

// askAll asks for the state of each accepted job, up to three times.
func (s *site) askAll() {
	s.judge.mu.Lock()
	var all []*job
	for _, x := range s.judge.jobs {
		if x.accepted && !x.cancelled {
			all = append(all, x)
		}
	}
	s.judge.mu.Unlock()
	var asked sync.WaitGroup
	limit := make(chan struct{}, 16)
	shown := map[string]int{}
	var mu sync.Mutex
	for _, x := range all {
		asked.Add(1)
		limit <- struct{}{}
		go func() {
			defer func() { <-limit; asked.Done() }()
			state := s.stateOf(x)
			mu.Lock()
			shown[state]++
			mu.Unlock()
		}()
	}
	asked.Wait()
	s.rec.add("accepted jobs, by the state that is shown: %v", shown)
}

func (s *site) stateOf(x *job) string {
	for try := range 3 {
		h := s.hosts[rand.IntN(len(s.hosts))]
		status, text, took := s.ask(h, "GET", x.prefix+x.id, "")
		switch status {
		case 200:
			var a struct{ State string }
			_ = json.Unmarshal([]byte(text), &a)
			s.judge.mu.Lock()
			x.shown = a.State
			hopeless := x.hopeless()
			s.judge.mu.Unlock()
			if (a.State == "failed" && !hopeless) || a.State == "cancelled" {
				s.judge.breach("LOST: job %s (%s) is shown as %s without cause", x.id, x.label, a.State)
			}
			if a.State == "complete" && !s.judge.complete(x) {
				s.judge.breach("MIXED: job %s (%s) is shown as complete, and its tasks haven't all ended so", x.id, x.label)
			}
			if a.State != "complete" {
				s.rec.add("GET %s (%s) at %s: %s", x.id, x.label, h.name, text)
			}
			return a.State
		case 410:
			s.judge.breach("LOST: accepted job %s (%s) isn't known", x.id, x.label)
			return "410"
		}
		s.rec.add("GET %s (%s) at %s, try %d: %d after %d ms", x.id, x.label, h.name, try+1, status, took.Milliseconds())
	}
	s.judge.breach("LOST: accepted job %s (%s) gets no answer", x.id, x.label)
	return "no answer"
}
