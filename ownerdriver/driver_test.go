package ownerdriver

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

// cluster has several drivers that share a table.
type cluster struct {
	t       *testing.T
	table   *fakeTable
	peers   *peernet.Network
	list    infra.MemberList
	drivers map[string]*Driver
	cancel  map[string]context.CancelFunc
	done    sync.WaitGroup
	drained chan string
}

func newCluster(t *testing.T, hosts ...string) *cluster {
	c := &cluster{
		t: t, table: newFakeTable(), peers: peernet.New(),
		drivers: map[string]*Driver{}, cancel: map[string]context.CancelFunc{}, drained: make(chan string, 100),
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
	port := c.peers.Port(host)
	d := New(Config{
		Host: host, Incarnation: host + "-1", Table: c.table, Transport: port, Mux: port,
		Lease: s.Lease,
		Drain: func(_ context.Context, shard string) error {
			c.drained <- shard
			return nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.drivers[host], c.cancel[host] = d, cancel
	c.done.Go(func() { _ = d.Run(ctx) })
	d.SetRoster(roster.Build(roster.Roster{}, c.list, s.Lease))
}

// fullOwners returns the number of hosts with a full share, by shard.
func (c *cluster) fullOwners() map[string]int {
	sum := map[string]int{}
	for _, d := range c.drivers {
		for shard, g := range d.Snapshot().Grants {
			if g.At(time.Now()) == ownership.Full {
				sum[shard]++
			}
		}
	}
	return sum
}

// wantAllOwnedOnce checks that each shard has exactly one full owner.
func (c *cluster) wantAllOwnedOnce(when string) {
	c.t.Helper()
	sum := c.fullOwners()
	shards := roster.Build(roster.Roster{}, c.list, settings.Default().Lease).Shards()
	for _, shard := range shards {
		if sum[shard] != 1 {
			c.t.Fatalf("%s: shard %s has %d full owners, want 1", when, shard, sum[shard])
		}
	}
}

// advance advances the fake clock of the test.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestDriversOwnEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		advance(15 * time.Second)
		c.wantAllOwnedOnce("after startup")
		for h, d := range c.drivers {
			if !d.StoreOK() || len(d.Snapshot().Grants) == 0 {
				t.Errorf("host %s: table available %v, %d grants; want true and at least 1", h, d.StoreOK(), len(d.Snapshot().Grants))
			}
		}
	})
}

func TestFullSharesKeptThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		advance(15 * time.Second)
		before := c.fullOwners()
		c.table.setDown(true)
		advance(time.Minute)
		for shard, n := range c.fullOwners() {
			if n != 1 {
				t.Errorf("shard %s has %d full owners during the outage, want 1", shard, n)
			}
		}
		if len(c.fullOwners()) != len(before) || c.drivers["a"].StoreOK() {
			t.Errorf("%d shards held during the outage, table available %v; want all shards and false", len(c.fullOwners()), c.drivers["a"].StoreOK())
		}
		c.table.setDown(false)
		advance(3 * time.Second)
		c.wantAllOwnedOnce("after the outage")
	})
}

func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		advance(15 * time.Second)
		held := len(c.drivers["b"].Snapshot().Grants)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.drivers["b"].HandOver(ctx); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		c.wantAllOwnedOnce("immediately after the handover")
		if remaining := len(c.drivers["b"].Snapshot().Grants); held == 0 || remaining != 0 || len(c.drained) < held {
			t.Errorf("host held %d shards, holds %d after the handover, drained %d; want some, 0 and all of them", held, remaining, len(c.drained))
		}
	})
}

func TestCrashedOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		advance(15 * time.Second)
		c.cancel["a"]()
		delete(c.drivers, "a")
		advance(20 * time.Second)
		halves := 0
		for _, d := range c.drivers {
			for _, g := range d.Snapshot().Grants {
				if g.At(time.Now()) == ownership.Half {
					halves++
				}
			}
		}
		if halves == 0 {
			t.Error("no shard is held with a half share while the crashed owner is still in the list")
		}
		c.list.Revision++
		c.list.Members = c.list.Members[:len(c.list.Members)-3]
		for _, h := range []string{"b", "c"} {
			c.list.Members = append(c.list.Members, infra.Member{Kind: infra.EntryHost, Name: h, Zone: h, State: infra.Live})
		}
		for _, d := range c.drivers {
			d.SetRoster(roster.Build(roster.Roster{}, c.list, settings.Default().Lease))
		}
		advance(15 * time.Second)
		c.wantAllOwnedOnce("after the list dropped the crashed owner")
	})
}
