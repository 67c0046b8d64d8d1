package integration

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fireflygate/fireflygate/internal/processpause"
	"github.com/fireflygate/fireflygate/load"
)

// pauseMonitor detects pauses of the test process, which indicate that the whole
// machine was paused or overloaded. It is safe for concurrent use.
type pauseMonitor struct {
	mu       sync.Mutex
	detector processpause.Detector
}

// run updates the detector until stop is closed.
func (m *pauseMonitor) run(stop <-chan struct{}) {
	ticker := time.NewTicker(processpause.TickInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		m.detector.Tick(time.Now())
		m.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// pausedWithin returns the total time of pauses between from and the earlier of to
// and now.
func (m *pauseMonitor) pausedWithin(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); to.After(now) {
		to = now
	}
	return m.detector.PausedWithin(from, to)
}

// longestPause returns the longest pause since from.
func (m *pauseMonitor) longestPause(from time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.LongestWithin(from, time.Now())
}

// SessionsMayHaveExpired reports whether a pause of the machine since from may have
// made sessions expire. scenarioPause is the time for which the scenario itself
// pauses processes; it adds to the pause of the machine. A session counts from its
// last renewal.
func (s *Site) SessionsMayHaveExpired(from time.Time, scenarioPause time.Duration) bool {
	lease := s.Hosts[0].settings.Lease
	longestPause := s.pauses.longestPause(from)
	return longestPause > 0 && longestPause+scenarioPause >= lease.Session.D()-lease.Renew.D()
}

// minAnswerTime is the time without pauses of the machine that a call needs to be
// answered. It is about ten times the work time of the endpoints.
const minAnswerTime = 250 * time.Millisecond

// answerTime returns the time without pauses of the machine that an exchange needs
// to be answered. A booking needs more, since a pause may make its first commit
// time out.
func (s *Site) answerTime(x load.Exchange) time.Duration {
	if Booking(x) {
		return minAnswerTime + s.Hosts[0].settings.Platform.Timeout.D()
	}
	return minAnswerTime
}

// Answerable returns the exchanges to which pauses of the machine left enough time
// to be answered. If it omits a booking, it omits the resent one as well, whose
// outcome may be unknown. It logs the number of omitted requests.
func (tr *Traffic) Answerable(exchanges []load.Exchange) []load.Exchange {
	lost := map[string]bool{}
	var out []load.Exchange
	for _, x := range exchanges {
		id := strings.TrimSuffix(x.ID, "-again")
		if tr.lostToPause(x) || lost[id] {
			lost[id] = true
			continue
		}
		out = append(out, x)
	}
	if n := len(lost); n > 0 {
		tr.site.t.Logf("pauses of the machine left %d requests too little time to be answered", n)
	}
	return out
}

// lostToPause reports whether pauses of the machine left an exchange too little
// time to be answered.
func (tr *Traffic) lostToPause(x load.Exchange) bool {
	timeout := tr.options.timeout()
	left := timeout - tr.site.pauses.pausedWithin(x.Sent, x.Sent.Add(timeout))
	return left < tr.site.answerTime(x) && tr.site.pauses.pausedWithin(x.Sent, x.Done) > 0
}

// PauseAll pauses all entry hosts and the stand-ins for d. The callers in the test
// process continue.
func (s *Site) PauseAll(d time.Duration) {
	all := []*process{s.standIn}
	for _, h := range s.Hosts {
		all = append(all, h.current())
	}
	for _, p := range all {
		p.signal(syscall.SIGSTOP)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
	for _, p := range all {
		p.signal(syscall.SIGCONT)
	}
}
