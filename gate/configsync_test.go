package gate

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// cluster is a set of entry hosts that replicate configurations only through
// peers.
type cluster struct {
	unreachable map[string]bool
	calls       atomic.Int64
	hosts       map[string]*configSync
}

func newCluster(n int) *cluster {
	c := &cluster{unreachable: map[string]bool{}, hosts: map[string]*configSync{}}
	network := peernet.New()
	network.SetFault(func(from, to string, _ peer.Method) peernet.Fault {
		c.calls.Add(1)
		if c.unreachable[from] || c.unreachable[to] {
			return peernet.Unreachable
		}
		return peernet.NoFault
	})
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("h", i))
	}
	for i, name := range names {
		w := configstore.NewWatcher(nil, settings.Default(), slog.New(slog.DiscardHandler))
		w.ApplyIfNewer(configstore.Offer{})
		c.hosts[name] = newConfigSync(network.Port(name), network.Port(name), w, rand.New(rand.NewPCG(uint64(i), 0)))
		c.hosts[name].setHosts(append(append([]string{}, names[:i]...), names[i+1:]...))
	}
	return c
}

// behind returns the number of reachable hosts with an older version.
func (c *cluster) behind(version uint64) int {
	n := 0
	for name, s := range c.hosts {
		if !c.unreachable[name] && s.version() < version {
			n++
		}
	}
	return n
}

// maxRounds is the number of rounds in 4 s, within which a version must be in
// force on every host.
const maxRounds = int(4 * time.Second / versionInterval)

// TestConfigSpreadsWithoutStore checks that a version reaches every live host
// within maxRounds through peers alone, with a third of the hosts unreachable.
func TestConfigSpreadsWithoutStore(t *testing.T) {
	for _, n := range []int{3, 9, 100} {
		c := newCluster(n)
		for i := range n / 3 {
			c.unreachable[fmt.Sprint("h", i+1)] = true
		}
		offer := offered(t, 1)
		c.hosts["h0"].watcher.ApplyIfNewer(offer)
		c.hosts["h0"].push(t.Context())
		rounds := 0
		for ; c.behind(1) > 0; rounds++ {
			if rounds == maxRounds {
				t.Fatalf("%d hosts: %d of them have an old version after %d rounds", n, c.behind(1), rounds)
			}
			for _, s := range c.hosts {
				s.syncRound(t.Context())
			}
		}
		t.Logf("%d hosts: in force on all after %d rounds and %d calls", n, rounds, c.calls.Load())
	}
}

// offered returns an offer of the default policy with the given version.
func offered(t *testing.T, version uint64) configstore.Offer {
	t.Helper()
	content, err := settings.MarshalPolicy(settings.Default())
	if err != nil {
		t.Fatal(err)
	}
	return configstore.Offer{Head: configstore.Head{Version: version, Hash: configstore.Hash(content)}, Content: content}
}
