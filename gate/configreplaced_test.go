package gate

import (
	"testing"
	"testing/synctest"
	"time"
)

// siteTest runs a test with five hosts that have version 1 in force, in virtual time.
func siteTest(t *testing.T, test func(s *configSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(newConfigSite(t, 5)) })
}

// acceptAlone has the first host accept version 2 while it can't reach its peers and
// they can't read the store. It returns the version in force there afterwards.
func acceptAlone(s *configSite) uint64 {
	first := s.hosts[0]
	first.unlinked.Store(true)
	setStoreDown(true, s.hosts[1:]...)
	if err := first.apply(1); err != nil {
		s.t.Fatal(err)
	}
	<-time.After(configBound)
	version, _ := first.version()
	return version
}

// TestReplacedHostKeepsVersionOfItsOwn guards against a replaced host that goes back to
// an older version which all its peers have: no peer had heard of the newer one.
func TestReplacedHostKeepsVersionOfItsOwn(t *testing.T) {
	siteTest(t, func(s *configSite) {
		first := s.hosts[0]
		before := acceptAlone(s)
		setStoreDown(true, first)
		first.kill()
		first.unlinked.Store(false)
		first.start()
		<-time.After(configBound)
		s.wantNotOlder(before, first)
		setStoreDown(false, s.hosts...)
		<-time.After(configBound)
		s.wantInForce(2, s.hosts...)
	})
}

// TestHostReplacedDuringChange guards against a replaced host that goes back to an
// older version because its process was killed before it had told any peer of the newer
// one. It kills the process at each moment of a change.
func TestHostReplacedDuringChange(t *testing.T) {
	const step = siteHop / 4
	for after := step; after < 20*siteHop; after += step {
		siteTest(t, func(s *configSite) {
			first := s.hosts[0]
			go func() { _ = first.apply(1) }()
			<-time.After(after)
			before, _ := first.version()
			setStoreDown(true, s.hosts...)
			first.replace()
			<-time.After(configBound)
			s.wantNotOlder(before, first)
			setStoreDown(false, s.hosts...)
			<-time.After(configBound)
			s.wantInForce(2, s.hosts...)
			if s.t.Failed() {
				s.t.Logf("killed %v after the change began", after)
			}
		})
	}
}

// TestReplacedHostTakesNothingOlderThanHead guards against a host that starts with an
// older version of its peers although it has read from the table that a newer one was
// accepted, whose content it can't read.
func TestReplacedHostTakesNothingOlderThanHead(t *testing.T) {
	siteTest(t, func(s *configSite) {
		first := s.hosts[0]
		acceptAlone(s)
		first.kill()
		first.unlinked.Store(false)
		first.objectsDown.Store(true)
		first.start()
		<-time.After(configBound)
		s.wantNotOlder(2, first)
		setStoreDown(false, s.hosts...)
		<-time.After(configBound)
		s.wantInForce(2, s.hosts...)
	})
}

// TestTwoReplacedHostsServe checks that two hosts replaced at once while the store is
// down have the newest version in force in time, though neither can answer the other.
func TestTwoReplacedHostsServe(t *testing.T) {
	siteTest(t, func(s *configSite) {
		setStoreDown(true, s.hosts...)
		for _, h := range s.hosts[:2] {
			h.kill()
		}
		for _, h := range s.hosts[:2] {
			<-time.After(s.apart())
			h.start()
		}
		<-time.After(configBound)
		s.wantInForce(1, s.hosts...)
	})
}

// TestReplacedHostServesBesideDeadHost checks that a host replaced while the store is
// down has the newest version in force in time, though one of its peers is dead and
// still listed.
func TestReplacedHostServesBesideDeadHost(t *testing.T) {
	siteTest(t, func(s *configSite) {
		setStoreDown(true, s.hosts...)
		s.hosts[1].kill()
		s.hosts[0].replace()
		<-time.After(configBound)
		s.wantInForce(1, s.hosts[0])
	})
}

// TestReplacedHostWithIncompleteList guards against a replaced host that goes back to
// an older version because the membership list that its new process gets lacks hosts
// which run and have the newer one.
func TestReplacedHostWithIncompleteList(t *testing.T) {
	for _, c := range []struct{ holders, lacking int }{{1, 1}, {2, 1}, {2, 2}} {
		siteTest(t, func(s *configSite) {
			first, others := s.hosts[0], s.hosts[1:]
			for _, h := range others[c.holders:] {
				h.unlinked.Store(true)
				setStoreDown(true, h)
			}
			if err := first.apply(1); err != nil {
				s.t.Fatal(err)
			}
			<-time.After(configBound)
			before, _ := first.version()
			setStoreDown(true, s.hosts...)
			for i, h := range others {
				h.unlinked.Store(i < c.holders)
			}
			first.kill()
			first.list(s.names[1+c.lacking:])
			first.start()
			<-time.After(configBound)
			s.wantNotOlder(before, first)
			if s.t.Failed() {
				s.t.Logf("%d peers had the newer version, %d of them aren't listed", c.holders, c.lacking)
			}
		})
	}
}
