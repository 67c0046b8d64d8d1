package ownership

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
)

// traffic sends as much as the grants allow, again and again.
func (h *simHost) traffic() {
	h.later(h.w.between(50, 250), func() {
		if h.w.idle {
			return
		}
		for _, shard := range h.shardNames() {
			g, ok := h.machine.Snapshot().Grants[shard]
			if !ok {
				continue
			}
			if roster.IsEndpointShard(shard) {
				h.dispatch(g)
			} else {
				h.work(g)
			}
		}
		h.traffic()
	})
}

// shardNames lists the machine's shards in order.
func (h *simHost) shardNames() []string { return h.machine.names }

// dispatch fills the slots that a grant allows. At most half are between the
// check of the grant and the end of the write.
func (h *simHost) dispatch(g Grant) {
	for h.open[g.Shard] < g.At(h.clock()).Of(simSlots) && h.writing[g.Shard] < simSlots/2 {
		h.open[g.Shard]++
		h.writing[g.Shard]++
		incarnation := h.incarnation
		// A pause between the check and the write delays the write.
		h.later(h.w.between(0, 5), func() {
			h.writing[g.Shard]--
			h.send(g.Shard, incarnation)
		})
	}
}

// send has the endpoint run a request, also when this process dies.
func (h *simHost) send(shard string, incarnation int) {
	truth := h.w.truth(shard)
	truth.running++
	h.w.dispatches++
	if truth.running > simSlots {
		h.w.fail("%s runs %d requests, capacity %d", shard, truth.running, simSlots)
	}
	runs := h.maxRun
	if !h.w.bursts && h.w.chance(50) {
		runs = time.Duration(h.w.rand.Int64N(int64(h.maxRun)))
	}
	h.w.after(runs, func() {
		truth.running--
		if h.alive && h.incarnation == incarnation {
			h.open[shard]--
		}
	})
}

// drain waits until nothing of a shard is open.
func (h *simHost) drain(a Drain) {
	h.later(10*time.Millisecond, func() {
		if h.open[a.Shard] > 0 {
			h.drain(a)
			return
		}
		h.do(h.machine.Drained(h.clock(), a.Shard, a.Epoch))
	})
}

// simSendTime bounds the time from the check of a grant to the sending of the
// task leases that it lets renew.
const simSendTime = time.Second

// leasesRenewed begins the finding of a late renewal.
const leasesRenewed = "task leases renewed"

// renewTasks sends a renewal of a worker shard's task leases to its workers,
// who know nothing of owners that they have not heard of.
func (h *simHost) renewTasks(g Grant) {
	deadline := h.clock().Add(simSendTime)
	h.open[g.Shard]++
	h.later(h.w.between(0, 5), func() {
		h.open[g.Shard]--
		if h.clock().After(deadline) {
			return
		}
		truth := h.w.truth(g.Shard)
		late := time.Duration(float64(simSendTime) * (1 + h.lease.ClockRate))
		if g.Epoch < truth.owned && h.w.now.Sub(truth.ownedAt) > late {
			h.w.fail("%s: %s under epoch %d, %v after that of %d began", g.Shard, leasesRenewed, g.Epoch, h.w.now.Sub(truth.ownedAt), truth.owned)
		}
		if g.Epoch < truth.owned {
			h.w.lateRenewals++
		}
		h.w.renewals++
		truth.gap = max(truth.gap, h.w.now.Sub(truth.renewedAt))
		truth.renewedAt = h.w.now
	})
}

// ownersChanged notes the owners that a transaction has given shards.
func (w *world) ownersChanged(tx infra.Transaction) {
	for _, wr := range tx.Writes {
		row, err := DecodeShardRow(wr.Value)
		if err != nil || !strings.HasPrefix(wr.Key, ShardPrefix) {
			continue
		}
		truth := w.truth(shardOfKey(wr.Key))
		if row.Epoch > truth.owned {
			truth.owned = row.Epoch
			truth.ownedAt = w.now
		}
	}
}

// work commits to the table as the owner of a worker shard.
func (h *simHost) work(g Grant) {
	if g.At(h.clock()) != Full {
		return
	}
	h.renewTasks(g)
	tx := infra.Transaction{Conditions: []infra.Condition{{Key: ShardKey(g.Shard), Version: g.Version}}}
	if h.w.unfenced {
		tx.Conditions = nil
	}
	h.later(h.w.between(0, 5), func() {
		h.w.after(h.delay(), func() {
			if h.storeFails() || h.w.table.commit(tx).Status != infra.CommitApplied {
				return
			}
			h.w.commits++
			truth := h.w.truth(g.Shard)
			if g.Epoch < truth.epoch {
				h.w.fail("%s: commit of epoch %d after one of %d", g.Shard, g.Epoch, truth.epoch)
			}
			truth.epoch = g.Epoch
		})
	})
}
