package gate

import (
	"testing"
	"time"
)

// TestKilledHolderDoesNotCount guards against a version that is put into force although
// too few hosts hold it: one of those counted was killed after it had answered, and its
// new process has started with an older version. The first host has the answer of the
// second before that is killed, and reaches the third at different times afterwards.
func TestKilledHolderDoesNotCount(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 1900 * time.Millisecond, 3200 * time.Millisecond, 10 * time.Second} {
		siteTest(t, func(s *configSite) {
			first, second, third, rest := s.hosts[0], s.hosts[1], s.hosts[2], s.hosts[3:]
			setStoreDown(true, s.hosts[1:]...)
			setLinked(false, first, s.hosts[2:]...)
			setLinked(false, second, s.hosts[2:]...)
			go func() { _ = first.apply(1) }() // waits for most hosts
			<-time.After(20 * siteHop)
			setStoreDown(true, first)
			setLinked(false, first, second)
			setLinked(true, second, s.hosts[2:]...)
			second.replace()
			<-time.After(after)
			setLinked(false, third, append(rest, second)...)
			setLinked(true, first, third)
			go first.process.Load().sync.push(s.t.Context())
			<-time.After(time.Second)
			before, _ := first.version()
			first.kill()
			setLinked(false, first, third)
			setLinked(true, first, append(rest, second)...)
			first.start()
			<-time.After(configBound)
			s.wantNotOlder(before, first)
			if s.t.Failed() {
				s.t.Logf("the third host was reached %v after the second was killed; version %d was in force then", after, before)
			}
		})
	}
}
