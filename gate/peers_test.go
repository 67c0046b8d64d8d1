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

// crowd is entry hosts that know of configurations only through each other.
type crowd struct {
	dead  map[string]bool
	calls atomic.Int64
	hosts map[string]*spreader
}

func newCrowd(n int) *crowd {
	c := &crowd{dead: map[string]bool{}, hosts: map[string]*spreader{}}
	network := peernet.New()
	network.SetFault(func(from, to string, _ peer.Method) peernet.Fault {
		c.calls.Add(1)
		if c.dead[from] || c.dead[to] {
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
		c.hosts[name] = newSpreader(network.Port(name), network.Port(name), w, rand.New(rand.NewPCG(uint64(i), 0)))
		c.hosts[name].setHosts(append(append([]string{}, names[:i]...), names[i+1:]...))
	}
	return c
}

// behind counts the live hosts below a version.
func (c *crowd) behind(version uint64) int {
	n := 0
	for name, s := range c.hosts {
		if !c.dead[name] && s.version() < version {
			n++
		}
	}
	return n
}

// maxRounds are the rounds within the 4 s in which a version is to be in force
// everywhere.
const maxRounds = int(4 * time.Second / versionInterval)

// TestSpreadingWithoutTheStore checks that a version reaches every live host
// through peers alone, in few rounds, also when a third of them is dead: the
// store may go down right after it accepted the version.
func TestSpreadingWithoutTheStore(t *testing.T) {
	for _, n := range []int{3, 9, 100} {
		c := newCrowd(n)
		for i := range n / 3 {
			c.dead[fmt.Sprint("h", i+1)] = true
		}
		offer := offered(t, 1)
		c.hosts["h0"].watcher.ApplyIfNewer(offer)
		c.hosts["h0"].spread(t.Context())
		rounds := 0
		for ; c.behind(1) > 0; rounds++ {
			if rounds == maxRounds {
				t.Fatalf("%d hosts: %d of them still behind after %d rounds", n, c.behind(1), rounds)
			}
			for _, s := range c.hosts {
				s.round(t.Context())
			}
		}
		t.Logf("%d hosts: everywhere after %d rounds and %d calls", n, rounds, c.calls.Load())
	}
}

// offered returns a version as the store would have accepted it.
func offered(t *testing.T, version uint64) configstore.Offer {
	t.Helper()
	content, err := settings.MarshalPolicy(settings.Default())
	if err != nil {
		t.Fatal(err)
	}
	return configstore.Offer{Head: configstore.Head{Version: version, Hash: configstore.Hash(content)}, Content: content}
}
