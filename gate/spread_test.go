package gate

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// TestSpreadReachesAll checks that a version reaches hosts without the table,
// also one that was cut off while it spread, and that hosts which know it send
// it to nobody who has it.
func TestSpreadReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 12
		n := &spreadNet{handlers: map[string]map[peer.Method]peer.Handler{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*spreader
		for i := range hosts {
			w := configstore.NewWatcher(nil, settings.Default(), slog.New(slog.DiscardHandler))
			w.ApplyIfNewer(offerOf(1, ""))
			port := spreadPort{n, fmt.Sprint("h", i)}
			s := newSpreader(port, port, w, rand.New(rand.NewPCG(1, uint64(i))))
			all = append(all, s)
			go s.run(ctx)
		}
		reach := func(upTo int) {
			for i, s := range all[:upTo] {
				var others []string
				for j := range upTo {
					if j != i {
						others = append(others, fmt.Sprint("h", j))
					}
				}
				s.setHosts(others)
			}
		}
		reach(hosts - 1) // nobody knows of the last one yet
		all[0].watcher.ApplyIfNewer(offerOf(2, "# second"))
		go all[0].spread(ctx)
		<-time.After(4 * time.Second)
		for i, s := range all[:hosts-1] {
			if s.version() != 2 {
				t.Errorf("host %d has version %d", i, s.version())
			}
		}
		reach(hosts)
		<-time.After(8 * time.Second)
		if v := all[hosts-1].version(); v != 2 {
			t.Errorf("the late host has version %d", v)
		}
		offers := n.offers.Load()
		<-time.After(8 * time.Second)
		if more := n.offers.Load() - offers; more != 0 {
			t.Errorf("%d offers when all have the version", more)
		}
		cancel()
		<-time.After(time.Second)
	})
}

// TestOfferBounded checks that a message cannot unpack without bound.
func TestOfferBounded(t *testing.T) {
	for _, size := range []int{0, maxContent, maxContent + 1} {
		m, err := packOffer(configstore.Offer{Content: strings.Repeat("x", size)})
		if err != nil {
			t.Fatal(err)
		}
		o, err := m.offer()
		if whole := err == nil && len(o.Content) == size; whole != (size <= maxContent) {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}
