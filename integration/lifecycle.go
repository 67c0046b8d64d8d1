package integration

import (
	"syscall"

	"github.com/fireflygate/fireflygate/check"
)

// Kill kills the process of an entry host and waits until it has ended.
func (s *Site) Kill(h *Host) { h.current().kill() }

// Pause stops the process of an entry host with SIGSTOP, until Resume.
func (s *Site) Pause(h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = true
	h.process.signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (s *Site) Resume(h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.signal(syscall.SIGCONT)
	h.paused = false
}

// Drain performs a planned stop of an entry host. It fails the test unless the
// process exits with code 0.
func (s *Site) Drain(h *Host) {
	s.t.Helper()
	s.Recorder.Add(check.Record{DrainBegan: &check.DrainBegan{Host: h.Name}})
	p := h.current()
	code := p.terminate()
	s.Recorder.Add(check.Record{DrainEnded: &check.DrainEnded{Host: h.Name}})
	if code != 0 {
		s.t.Fatalf("%s exited with code %d after SIGTERM, want 0: %s", h.Name, code, p.tail(2000))
	}
}

// Restart starts a new process for an entry host whose process has ended, and
// waits until it is ready. It fails the test if the old one logged a data race.
func (s *Site) Restart(h *Host) {
	s.t.Helper()
	s.restart(h)
}

// RestartAll kills all entry hosts and starts them again together, and waits until all
// are ready.
func (s *Site) RestartAll() {
	s.t.Helper()
	for _, h := range s.Hosts {
		s.Kill(h)
	}
	s.restart(s.Hosts...)
}

// restart starts the processes of entry hosts and waits until all are ready.
func (s *Site) restart(hosts ...*Host) {
	s.t.Helper()
	for _, h := range hosts {
		s.reportLog(h.Name, h.current())
		s.must(h.start(s.programs.Gate))
	}
	for _, h := range hosts {
		s.WaitUntil(h.Name+" ready", h.Ready)
	}
}
