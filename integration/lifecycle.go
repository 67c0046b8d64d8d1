package integration

import (
	"syscall"

	"github.com/fireflygate/fireflygate/check"
)

// Kill ends an entry host's process at once.
func (s *Site) Kill(h *Host) { h.current().kill() }

// Pause stops an entry host's process until Resume.
func (s *Site) Pause(h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = true
	h.process.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (s *Site) Resume(h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.signal(syscall.SIGCONT)
	h.paused = false
}

// Drain stops an entry host as planned. It fails the test unless the process
// exits with 0.
func (s *Site) Drain(h *Host) {
	s.t.Helper()
	s.Recorder.Add(check.Record{DrainBegan: &check.DrainBegan{Host: h.Name}})
	p := h.current()
	code := p.terminate()
	s.Recorder.Add(check.Record{DrainEnded: &check.DrainEnded{Host: h.Name}})
	if code != 0 {
		s.t.Fatalf("%s exited with %d: %s", h.Name, code, p.tail(2000))
	}
}

// Restart starts a new process of an entry host that has ended, and waits
// until it is ready.
func (s *Site) Restart(h *Host) {
	s.t.Helper()
	s.examine(h.Name, h.current())
	s.must(h.start(s.programs.Gate))
	s.WaitUntil(h.Name+" ready", h.Ready)
}
