package tenure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// cluster is some keepers over one table.
type cluster struct {
	t       *testing.T
	table   *fakeTable
	peers   *peernet.Network
	list    infra.MemberList
	keepers map[string]*Driver
	cancel  map[string]context.CancelFunc
	done    sync.WaitGroup
	drained chan string
}

func newCluster(t *testing.T, hosts ...string) *cluster {
	c := &cluster{
		t: t, table: newFakeTable(), peers: peernet.New(),
		keepers: map[string]*Driver{}, cancel: map[string]context.CancelFunc{}, drained: make(chan string, 100),
	}
	for i := range 16 {
		c.list.Members = append(c.list.Members, infra.Member{
			Kind: infra.Endpoint, Name: fmt.Sprintf("e%d", i), Service: "s", State: infra.Live,
		}, infra.Member{Kind: infra.Worker, Name: fmt.Sprintf("w%d", i), Zone: "z", State: infra.Live})
	}
	for i, h := range hosts {
		c.list.Members = append(c.list.Members, infra.Member{
			Kind: infra.EntryHost, Name: h, Zone: fmt.Sprint(i), State: infra.Live,
		})
	}
	for _, h := range hosts {
		c.start(h)
	}
	t.Cleanup(func() {
		for _, cancel := range c.cancel {
			cancel()
		}
		c.done.Wait()
	})
	return c
}

func (c *cluster) start(host string) {
	s := settings.Default()
	end := c.peers.Port(host)
	k := New(Config{
		Host: host, Incarnation: host + "-1", Table: c.table, Transport: end, Mux: end,
		Lease: s.Lease,
		Drain: func(_ context.Context, shard string) error {
			c.drained <- shard
			return nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.keepers[host], c.cancel[host] = k, cancel
	c.done.Go(func() { _ = k.Run(ctx) })
	k.SetRoster(roster.Build(roster.Roster{}, c.list, s.Lease))
}

// shares adds up the full shares held, by shard.
func (c *cluster) shares() map[string]int {
	sum := map[string]int{}
	for _, k := range c.keepers {
		for shard, g := range k.Snapshot().Grants {
			if g.At(time.Now()) == ownership.Full {
				sum[shard]++
			}
		}
	}
	return sum
}

// wantAllOwnedOnce checks that each shard has one full owner.
func (c *cluster) wantAllOwnedOnce(when string) {
	c.t.Helper()
	sum := c.shares()
	shards := roster.Build(roster.Roster{}, c.list, settings.Default().Lease).Shards()
	for _, shard := range shards {
		if sum[shard] != 1 {
			c.t.Fatalf("%s: %s has %d full owners", when, shard, sum[shard])
		}
	}
}

// pass lets time pass in the bubble.
func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestKeepersShareOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		pass(15 * time.Second)
		c.wantAllOwnedOnce("settled")
		for h, k := range c.keepers {
			if !k.StoreOK() || len(k.Snapshot().Grants) == 0 {
				t.Errorf("%s: store %v, %d grants", h, k.StoreOK(), len(k.Snapshot().Grants))
			}
		}
	})
}

func TestKeepersKeepFullThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		pass(15 * time.Second)
		calm := c.shares()
		c.table.setDown(true)
		pass(time.Minute)
		for shard, n := range c.shares() {
			if n != 1 {
				t.Errorf("%s has %d full owners", shard, n)
			}
		}
		if len(c.shares()) != len(calm) || c.keepers["a"].StoreOK() {
			t.Errorf("%d shards held, store %v", len(c.shares()), c.keepers["a"].StoreOK())
		}
		c.table.setDown(false)
		pass(3 * time.Second)
		c.wantAllOwnedOnce("after the outage")
	})
}

func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		pass(15 * time.Second)
		held := len(c.keepers["b"].Snapshot().Grants)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.keepers["b"].HandOver(ctx); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		c.wantAllOwnedOnce("at once after the hand-over")
		if left := len(c.keepers["b"].Snapshot().Grants); held == 0 || left != 0 || len(c.drained) < held {
			t.Errorf("held %d, left %d, drained %d", held, left, len(c.drained))
		}
	})
}

func TestCrashedOwnerIsSucceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		pass(15 * time.Second)
		c.cancel["a"]()
		delete(c.keepers, "a")
		pass(20 * time.Second)
		halves := 0
		for _, k := range c.keepers {
			for _, g := range k.Snapshot().Grants {
				if g.At(time.Now()) == ownership.Half {
					halves++
				}
			}
		}
		if halves == 0 {
			t.Error("no shard is held by half though the crashed owner is still on the list")
		}
		c.list.Revision++
		c.list.Members = c.list.Members[:len(c.list.Members)-3]
		for _, h := range []string{"b", "c"} {
			c.list.Members = append(c.list.Members, infra.Member{Kind: infra.EntryHost, Name: h, Zone: h, State: infra.Live})
		}
		for _, k := range c.keepers {
			k.SetRoster(roster.Build(roster.Roster{}, c.list, settings.Default().Lease))
		}
		pass(15 * time.Second)
		c.wantAllOwnedOnce("after the list dropped the crashed owner")
	})
}
