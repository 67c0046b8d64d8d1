package integration

import (
	"testing"
	"time"
)

// TestReplacedHostsServeWithoutStore replaces hosts while the store is down: one beside
// a host that is dead and still listed, then two at once. Each must serve with the
// newest version.
func TestReplacedHostsServeWithoutStore(t *testing.T) {
	t.Parallel()
	s := New(t, Options{Hosts: 5})
	version := s.change(s.Hosts[0], 0, 301).Version
	s.untilVersion(version, s.Hosts)
	s.setStoreDown(true)
	replaced := s.Hosts[:2]
	for _, h := range replaced {
		s.Kill(h)
	}
	s.Restart(replaced[0])
	s.untilVersion(version, replaced[:1])
	s.Restart(replaced[1])
	s.untilVersion(version, replaced)
	for _, h := range replaced {
		s.Kill(h)
	}
	for _, h := range replaced {
		s.reportLog(h.Name, h.current())
		s.must(h.start(s.programs.Gate))
	}
	for _, h := range replaced {
		s.WaitUntil(h.Name+" ready", h.Ready)
	}
	s.untilVersion(version, replaced)
	s.setStoreDown(false)
	s.Check()
}

// TestReplacedHostKeepsConfigOfItsOwn replaces a host that alone knows the newest
// version, while the store is down: it accepted the change while its peers could neither
// reach it nor the store. Its new process must not have an older version in force than
// the one before.
func TestReplacedHostKeepsConfigOfItsOwn(t *testing.T) {
	t.Parallel()
	s := New(t, Options{Hosts: 5})
	s.untilVersion(s.change(s.Hosts[0], 0, 301).Version, s.Hosts)
	first, others := s.Hosts[0], s.Hosts[1:]
	s.DisconnectPeers(first.Name)
	for _, h := range others {
		s.Disconnect(h.Name, Table, Objects)
	}
	second := s.change(first, 1, 302)
	before := s.configVersion(first)
	s.setStoreDown(true)
	s.Kill(first)
	s.ReconnectPeers(first.Name)
	s.Restart(first)
	if after := s.configVersion(first); after < before {
		t.Errorf("%s went from version %d to %d", first.Name, before, after)
	}
	s.setStoreDown(false)
	for _, h := range others {
		s.Reconnect(h.Name, Table, Objects)
	}
	s.untilVersion(second.Version, s.Hosts)
	// The bound doesn't apply while most hosts can't know the version.
	s.CheckWithLimits(limitsWithConfigBound(time.Minute))
}

// configVersion returns the version in force on a host.
func (s *Site) configVersion(h *Host) int64 {
	s.t.Helper()
	status, err := h.Status()
	s.must(err)
	return status.ConfigVersion
}
