package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// setStoreDown makes the table and the object store unavailable or available.
func (s *Site) setStoreDown(down bool) {
	s.t.Helper()
	s.TableFaults(standin.Faults{Down: down})
	s.ObjectFaults(standin.Faults{Down: down})
}

// TestConfigSpreadsWithoutStore takes the store down right after a change was
// accepted. The change must reach all hosts through their peers, and a restarted
// host must never have an older version in force.
func TestConfigSpreadsWithoutStore(t *testing.T) {
	t.Parallel()
	s := New(t, Options{Hosts: 5})
	first := s.change(s.Hosts[0], 0, 301)
	s.untilVersion(first.Version, s.Hosts)
	second := s.change(s.Hosts[1], first.Version, 302)
	s.setStoreDown(true)
	s.untilVersion(second.Version, s.Hosts)
	for _, h := range s.Hosts[:2] {
		s.Kill(h)
		s.Restart(h)
		s.untilVersion(second.Version, []*Host{h})
	}
	s.setStoreDown(false)
	third := s.change(s.Hosts[0], second.Version, 303)
	s.untilVersion(third.Version, s.Hosts)
	s.Check()
}

// TestConfigOfDisconnectedHost disconnects a host from the store and all peers
// while a change is accepted. The host must keep its version, and apply the newest
// once it is reconnected to its peers.
func TestConfigOfDisconnectedHost(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	s.untilVersion(s.change(s.Hosts[0], 0, 301).Version, s.Hosts)
	isolated := s.Hosts[2]
	s.DisconnectPeers(isolated.Name)
	s.Disconnect(isolated.Name, Table, Objects)
	second := s.change(s.Hosts[1], 1, 302)
	s.untilVersion(second.Version, s.Hosts[:2])
	if status, err := isolated.Status(); err != nil || status.ConfigVersion != 1 {
		t.Errorf("disconnected host: got status %+v, error %v; want version 1", status, err)
	}
	s.ReconnectPeers(isolated.Name)
	s.untilVersion(second.Version, s.Hosts)
	s.Reconnect(isolated.Name, Table, Objects)
	// The bound doesn't apply to a disconnected host.
	s.CheckWithLimits(limitsWithConfigBound(time.Minute))
}

// change applies a configuration with another queue length at a host.
func (s *Site) change(h *Host, base int64, queue int) *configs.ConfigVersion {
	s.t.Helper()
	v, err := s.Apply(h, base, func(c *settings.Settings) { c.Calls.Queue = queue })
	s.must(err)
	return v
}

// limitsWithConfigBound returns the default limits with another ConfigBound.
func limitsWithConfigBound(bound time.Duration) check.Limits {
	l := check.DefaultLimits()
	l.ConfigBound = bound
	return l
}
