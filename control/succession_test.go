package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
)

// successionSeeds is the number of seeds of the tests of succession, successionHosts the
// number of hosts, 0 for the default sizes.
var (
	successionSeeds = flag.Int("succession.seeds", 1, "seeds of the tests of succession")
	successionHosts = flag.Int("succession.hosts", 0, "hosts of the tests of succession, 0 for the default sizes")
)

// Troubles of a store.
var (
	// slowStore takes 0.24 s a read and 0.3 s a transaction, and executes a third of the
	// transactions late without an answer.
	slowStore = storePace{read: 240 * time.Millisecond, transaction: 300 * time.Millisecond, lateShare: 0.35}
	// lateStore answers nothing sooner than after 3 s, and a third of the transactions
	// not at all.
	lateStore = storePace{read: 3 * time.Second, transaction: 5 * time.Millisecond, lateShare: 0.35}
	// losingStore executes a third of the transactions late without an answer.
	losingStore = storePace{read: usualStore.read, transaction: usualStore.transaction, lateShare: 0.35}
)

// forEachDomain runs a test in virtual time on domains of several sizes and seeds.
func forEachDomain(t *testing.T, test func(t *testing.T, d *domainRig)) {
	sizes := []int{10, 100}
	if *successionHosts > 0 {
		sizes = []int{*successionHosts}
	}
	for _, hosts := range sizes {
		for seed := range uint64(*successionSeeds) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDomainRig(t, hosts, rand.New(rand.NewPCG(seed, 0)))
					defer d.stop()
					test(t, d)
				})
			})
		}
	}
}

// TestHostsThatStartTogetherGetAnOwner guards against a store that is busy with the
// attempts of many hosts to acquire the domain: none of them is answered in time, and
// the domain stays without an owner after the store is well.
func TestHostsThatStartTogetherGetAnOwner(t *testing.T) {
	forEachDomain(t, func(t *testing.T, d *domainRig) {
		const trouble, wellFor, ownerWithin = 30 * time.Second, 10 * time.Second, 2 * time.Second
		d.store.setPace(slowStore)
		d.startAll()
		d.runFor(trouble)
		d.store.setPace(usualStore)
		d.runFor(ownerWithin)
		epoch := d.actingEpoch()
		if epoch == 0 {
			t.Errorf("no owner %v after the store was well; %d transactions wait there", ownerWithin, d.store.waiting())
		}
		d.runFor(wellFor)
		if now := d.actingEpoch(); now != epoch {
			t.Errorf("the owner of epoch %d was replaced by epoch %d in a store that is well", epoch, now)
		}
	})
}

// TestLateStoreGetsAnOwner guards against hosts that give each read and each attempt up
// before a store that answers late can answer.
func TestLateStoreGetsAnOwner(t *testing.T) {
	forEachDomain(t, func(t *testing.T, d *domainRig) {
		// Two reads and a commit that is lost once; then the owner stays.
		const ownerWithin, staysFor = 25 * time.Second, 30 * time.Second
		d.store.setPace(lateStore)
		d.startAll()
		d.runFor(ownerWithin)
		epoch := d.epoch()
		if epoch == 0 {
			t.Fatalf("no owner after %v", ownerWithin)
		}
		d.runFor(staysFor)
		if now := d.epoch(); now != epoch {
			t.Errorf("the owner of epoch %d was replaced by epoch %d", epoch, now)
		}
	})
}

// TestOwnerWithLateCommitsStays guards against owners that replace each other every
// second, since each finds that its commits go through late.
func TestOwnerWithLateCommitsStays(t *testing.T) {
	forEachDomain(t, func(t *testing.T, d *domainRig) {
		const settle, trouble = 3 * time.Second, 30 * time.Second
		d.startAll()
		d.runFor(settle)
		epoch := d.actingEpoch()
		d.store.setPace(losingStore)
		d.runFor(trouble)
		if now := d.epoch(); epoch == 0 || now != epoch {
			t.Errorf("the owner of epoch %d was replaced by epoch %d, whose commits are as late", epoch, now)
		}
	})
}

// TestTakeoverLoadOfStore guards against a store whose load by attempts to acquire the
// domain grows with the number of hosts. No attempt has an effect.
func TestTakeoverLoadOfStore(t *testing.T) {
	forEachDomain(t, func(t *testing.T, d *domainRig) {
		const trouble, maxPerSecond = 20 * time.Second, 3
		d.store.setPace(storePace{read: usualStore.read, transaction: usualStore.transaction, lateShare: 1, lost: true})
		d.startAll()
		d.runFor(trouble)
		if most := maxPerSecond * int(trouble/time.Second); d.store.transactions() > most {
			t.Errorf("%d transactions of %d hosts within %v, want at most %d", d.store.transactions(), len(d.nodes), trouble, most)
		}
	})
}

// TestHostsWithoutPeersGetAnOwner guards against hosts that wait for the answer of others
// before they acquire the domain though no host reaches another one.
func TestHostsWithoutPeersGetAnOwner(t *testing.T) {
	forEachDomain(t, func(t *testing.T, d *domainRig) {
		const ownerWithin = 15 * time.Second
		var acquired atomic.Bool // owners that nobody reaches are replaced again
		for _, n := range d.nodes {
			n.opts.OwnershipChanged = func(bool) { acquired.Store(true) }
		}
		d.parted = true
		d.store.setPace(slowStore)
		d.startAll()
		d.runFor(ownerWithin)
		if !acquired.Load() {
			t.Errorf("no host has acquired the domain after %v; %d transactions wait in the store", ownerWithin, d.store.waiting())
		}
	})
}

// TestLongLoadIsFinished guards against a domain that nobody can own, since loading its
// state takes longer than a time limit.
func TestLongLoadIsFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomainRig(t, 2, rand.New(rand.NewPCG(1, 0)))
		defer d.stop()
		const rows, loadsWithin = 20 * scanPageSize, 40 * time.Second // 20 pages of 0.8 s
		for i := range rows {
			d.store.Put(fmt.Sprintf("%s%06d", dispatch.JobPrefix, i), nil)
		}
		d.store.setPace(storePace{read: 800 * time.Millisecond, transaction: 100 * time.Millisecond})
		d.startAll()
		d.runFor(loadsWithin)
		epoch := d.epoch()
		if epoch != 1 || !d.loaded() {
			t.Errorf("after %v the owner of epoch %d has loaded the state: %v; want that of epoch 1 to have", loadsWithin, epoch, d.loaded())
		}
	})
}

// TestNoAttemptOnAnEarlierRow guards against hosts that try one after another to replace a
// row that has just changed, since they read it before.
func TestNoAttemptOnAnEarlierRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomainRig(t, 2, rand.New(rand.NewPCG(1, 0)))
		defer d.stop()
		d.storeLostOwner()
		late := d.addNode(len(d.nodes))
		late.cancel = func() {}
		earlier := newRowReader(d.store).read(t.Context())
		d.startAll()
		for d.epoch() == 0 {
			d.runFor(time.Millisecond)
		}
		before := d.store.transactions()
		late.takeOver(t.Context(), &suspicion{}, earlier)
		if sent := d.store.transactions() - before; sent > 0 {
			t.Errorf("%d transactions to replace a row that has changed, want none", sent)
		}
	})
}

// TestBusyOwnerIsNotTakenAsGone guards against owners that replace each other right after
// a start of all hosts: each is busy with the connections of all others, and counted as
// terminated once one wasn't opened in time.
func TestBusyOwnerIsNotTakenAsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busy, settle = 700 * time.Millisecond, 3 * time.Second
		d := newDomainRig(t, 10, rand.New(rand.NewPCG(1, 0)))
		defer d.stop()
		for _, n := range d.nodes {
			n.opts.OwnershipChanged = func(bool) { n.busyUntil.Store(time.Now().Add(busy).UnixNano()) }
		}
		d.startAll()
		d.runFor(settle)
		if epoch := d.epoch(); epoch != 1 {
			t.Errorf("the owner that was busy for %v was replaced: epoch %d", busy, epoch)
		}
	})
}

// runFor lets virtual time pass.
func (d *domainRig) runFor(span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	<-ctx.Done()
}
