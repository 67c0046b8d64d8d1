package integration

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fireflygate/fireflygate/internal/standstill"
	"github.com/fireflygate/fireflygate/load"
)

// machineWatch tells when the whole machine stood still, by this process.
type machineWatch struct {
	mu    sync.Mutex
	watch standstill.Detector
}

// run beats until stop is closed.
func (m *machineWatch) run(stop <-chan struct{}) {
	ticker := time.NewTicker(standstill.TickInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		m.watch.Tick(time.Now())
		m.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// within returns how much of the time between from and to, as far as it has
// passed, was lost.
func (m *machineWatch) within(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); to.After(now) {
		to = now
	}
	return m.watch.PausedWithin(from, to)
}

// longest returns the longest time on end that was lost since from.
func (m *machineWatch) longest(from time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watch.LongestWithin(from, time.Now())
}

// Disturbed reports whether the machine stood still since from for so long that
// sessions may have lapsed, where a scenario itself stops processes for as long as
// own: a session counts from its last renewal. Entry hosts then use nothing until
// they have read the table again, whatever a test is about.
func (s *Site) SessionsMayHaveExpired(from time.Time, own time.Duration) bool {
	lease := s.Hosts[0].settings.Lease
	longest := s.machine.longest(from)
	return longest > 0 && longest+own >= lease.Session.D()-lease.Renew.D()
}

// leastTime is what a call must have had of its time, beside standstills of the
// machine, to be answered: some ten times the work that endpoints do for it.
const leastTime = 250 * time.Millisecond

// needs returns how much time of its own an exchange needs to be answered. The
// claim of a booking may have to be committed again, since the machine stood
// still during its first try.
func (s *Site) needs(x load.Exchange) time.Duration {
	if Booking(x) {
		return leastTime + s.Hosts[0].settings.Platform.Timeout.D()
	}
	return leastTime
}

// Answerable returns the exchanges that could be answered: a standstill of the
// machine left them too little of their time otherwise. It leaves out the
// repeats of such bookings, whose outcome may be unknown.
func (tr *Traffic) Answerable(exchanges []load.Exchange) []load.Exchange {
	hopeless := map[string]bool{}
	var out []load.Exchange
	for _, x := range exchanges {
		id := strings.TrimSuffix(x.ID, "-again")
		if tr.hopeless(x) || hopeless[id] {
			hopeless[id] = true
			continue
		}
		out = append(out, x)
	}
	if n := len(hopeless); n > 0 {
		tr.site.t.Logf("the machine stood still: %d requests had no time left to be answered", n)
	}
	return out
}

// hopeless reports whether a standstill while an exchange was under way left it
// too little time.
func (tr *Traffic) hopeless(x load.Exchange) bool {
	timeout := tr.options.timeout()
	left := timeout - tr.site.machine.within(x.Sent, x.Sent.Add(timeout))
	return left < tr.site.needs(x) && tr.site.machine.within(x.Sent, x.Done) > 0
}

// PauseAll stops all entry hosts and the stand-ins for so long; the callers
// go on.
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
