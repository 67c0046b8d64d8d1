package gate

import (
	"testing"
	"time"
)

// TestHostWithoutPeersFollowsStore checks that a version is in force in time on a host
// that reaches the store but none of its peers: it reads there that most hosts hold it.
func TestHostWithoutPeersFollowsStore(t *testing.T) {
	siteTest(t, func(s *configSite) {
		s.hosts[0].unlinked.Store(true)
		if err := s.hosts[1].apply(1); err != nil {
			s.t.Fatal(err)
		}
		<-time.After(configBound)
		s.wantInForce(2, s.hosts...)
		s.hosts[0].replace()
		<-time.After(configBound)
		s.wantInForce(2, s.hosts[0])
	})
}

// TestVersionWaitsForMostHosts checks that a version that few hosts hold is in force
// nowhere, that the operator isn't kept waiting for it, and that it is in force in time
// once most hosts can be reached.
func TestVersionWaitsForMostHosts(t *testing.T) {
	siteTest(t, func(s *configSite) {
		for _, h := range s.hosts[2:] {
			h.unlinked.Store(true)
			setStoreDown(true, h)
		}
		began := time.Now()
		if err := s.hosts[0].apply(1); err != nil {
			s.t.Fatal(err)
		}
		if took := time.Since(began); took > acceptTimeout {
			s.t.Errorf("the operator waited %v, want at most %v", took, acceptTimeout)
		}
		<-time.After(configBound)
		s.wantInForce(1, s.hosts...)
		s.hosts[2].unlinked.Store(false)
		<-time.After(configBound)
		s.wantInForce(2, s.hosts[:3]...)
		s.wantInForce(1, s.hosts[3:]...)
	})
}

// TestVersionIsInForceWithoutAcceptingHost checks that a version is in force in time
// although the host that accepted it is killed after it has told one peer.
func TestVersionIsInForceWithoutAcceptingHost(t *testing.T) {
	siteTest(t, func(s *configSite) {
		setStoreDown(true, s.hosts[1:]...)
		for _, h := range s.hosts[2:] {
			h.unlinked.Store(true)
		}
		go func() { _ = s.hosts[0].apply(1) }()
		<-time.After(time.Second)
		s.wantInForce(1, s.hosts...)
		s.hosts[0].kill()
		for _, h := range s.hosts[2:] {
			h.unlinked.Store(false)
		}
		<-time.After(configBound)
		s.wantInForce(2, s.hosts[1:]...)
	})
}
