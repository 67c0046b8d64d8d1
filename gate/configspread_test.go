package gate

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// TestConfigReachesLateHost checks that a version spreads through peers, also to
// a host that joins later, and that no offers are sent once all hosts have it.
func TestConfigReachesLateHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 12
		n := &fakeNet{handlers: map[string]map[peer.Method]peer.Handler{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*configSync
		for i := range hosts {
			w := configstore.NewWatcher(nil, settings.Default(), slog.New(slog.DiscardHandler))
			w.ApplyIfNewer(offerOf(1, ""))
			port := fakePort{n, fmt.Sprint("h", i)}
			s := newConfigSync(port, port, w, rand.New(rand.NewPCG(1, uint64(i))))
			all = append(all, s)
			go s.run(ctx)
		}
		setMembers := func(count int) {
			for i, s := range all[:count] {
				var others []string
				for j := range count {
					if j != i {
						others = append(others, fmt.Sprint("h", j))
					}
				}
				s.setHosts(others)
			}
		}
		setMembers(hosts - 1) // the last host isn't a member yet
		all[0].watcher.ApplyIfNewer(offerOf(2, "# second"))
		go all[0].push(ctx)
		<-time.After(4 * time.Second)
		for i, s := range all[:hosts-1] {
			if s.version() != 2 {
				t.Errorf("host %d has version %d, want 2", i, s.version())
			}
		}
		setMembers(hosts)
		<-time.After(8 * time.Second)
		if v := all[hosts-1].version(); v != 2 {
			t.Errorf("the late host has version %d, want 2", v)
		}
		offers := n.offers.Load()
		<-time.After(8 * time.Second)
		if more := n.offers.Load() - offers; more != 0 {
			t.Errorf("%d offers sent after all hosts had the version, want 0", more)
		}
		cancel()
		<-time.After(time.Second)
	})
}
