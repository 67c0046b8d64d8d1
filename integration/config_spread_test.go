package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// storeDown takes the table and the objects away, or gives them back.
func (s *Site) storeDown(down bool) {
	s.t.Helper()
	s.TableFaults(standin.Faults{Down: down})
	s.ObjectFaults(standin.Faults{Down: down})
}

// TestConfigSpreadsWithoutTheStore has the store go down right after a change
// was accepted: it comes in force everywhere, from host to host. A host that
// is replaced meanwhile takes it from a peer and is never at an older one.
func TestConfigSpreadsWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := New(t, Options{Hosts: 5})
	first := s.change(s.Hosts[0], 0, 301)
	s.untilVersion(first.Version, s.Hosts)
	second := s.change(s.Hosts[1], first.Version, 302)
	s.storeDown(true)
	s.untilVersion(second.Version, s.Hosts)
	for _, h := range s.Hosts[:2] {
		s.Kill(h)
		s.Restart(h)
		s.untilVersion(second.Version, []*Host{h})
	}
	s.storeDown(false)
	third := s.change(s.Hosts[0], second.Version, 303)
	s.untilVersion(third.Version, s.Hosts)
	s.Check()
}

// TestConfigOfAPartedHost parts a host from the store and all peers while
// changes are accepted. It keeps what it has, and takes the newest once it is
// joined.
func TestConfigOfAPartedHost(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	s.untilVersion(s.change(s.Hosts[0], 0, 301).Version, s.Hosts)
	parted := s.Hosts[2]
	s.DisconnectPeers(parted.Name)
	s.Disconnect(parted.Name, Table, Objects)
	second := s.change(s.Hosts[1], 1, 302)
	s.untilVersion(second.Version, s.Hosts[:2])
	if status, err := parted.Status(); err != nil || status.ConfigVersion != 1 {
		t.Errorf("parted host: %+v, %v", status, err)
	}
	s.ReconnectPeers(parted.Name)
	s.untilVersion(second.Version, s.Hosts)
	s.Reconnect(parted.Name, Table, Objects)
	// A host that nothing reaches has no bound; all else must hold.
	s.CheckWithLimits(limitsWithin(time.Minute))
}

// change applies a change of the site's policy at a host.
func (s *Site) change(h *Host, base int64, queue int) *configs.ConfigVersion {
	s.t.Helper()
	v, err := s.Apply(h, base, func(c *settings.Settings) { c.Calls.Queue = queue })
	s.must(err)
	return v
}

// limitsWithin are the usual limits with another bound on the spreading.
func limitsWithin(bound time.Duration) check.Limits {
	l := check.DefaultLimits()
	l.ConfigBound = bound
	return l
}
