package ownership

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
)

// traffic periodically sends as much as the grants allow.
func (h *simHost) traffic() {
	h.runLater(h.c.between(50, 250), func() {
		if h.c.noTraffic {
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
				h.commitAsOwner(g)
			}
		}
		h.traffic()
	})
}

// shardNames returns the names of the machine's shards in order.
func (h *simHost) shardNames() []string { return h.machine.sortedShards }

// dispatch uses all slots that a grant allows, with at most half of them
// between the check of the grant and the end of the write.
func (h *simHost) dispatch(g Grant) {
	for h.open[g.Shard] < g.At(h.clock()).Of(simSlots) && h.writing[g.Shard] < simSlots/2 {
		h.open[g.Shard]++
		h.writing[g.Shard]++
		incarnation := h.incarnation
		// A pause between the check and the write delays the write.
		h.runLater(h.c.between(0, 5), func() {
			h.writing[g.Shard]--
			h.send(g.Shard, incarnation)
		})
	}
}

// send simulates a request at an endpoint. It continues if the sending process
// ends.
func (h *simHost) send(shard string, incarnation int) {
	actual := h.c.actual(shard)
	actual.running++
	h.c.dispatches++
	if actual.running > simSlots {
		h.c.fail("shard %s runs %d requests, capacity %d", shard, actual.running, simSlots)
	}
	runTime := h.maxRun
	if !h.c.maxLengthRequests && h.c.chance(50) {
		runTime = time.Duration(h.c.rand.Int64N(int64(h.maxRun)))
	}
	h.c.after(runTime, func() {
		actual.running--
		if h.alive && h.incarnation == incarnation {
			h.open[shard]--
		}
	})
}

// drain waits until no request of a shard is open.
func (h *simHost) drain(a Drain) {
	h.runLater(10*time.Millisecond, func() {
		if h.open[a.Shard] > 0 {
			h.drain(a)
			return
		}
		h.execute(h.machine.Drained(h.clock(), a.Shard, a.Epoch))
	})
}

// simSendTime is the maximum time from the check of a grant to the sending of
// the task leases that it permits to be renewed.
const simSendTime = time.Second

// leasesRenewed is the prefix of a violation caused by a late renewal.
const leasesRenewed = "task leases renewed"

// renewTasks sends a renewal of a worker shard's task leases. Workers accept it
// unless they have received a message of a later owner.
func (h *simHost) renewTasks(g Grant) {
	deadline := h.clock().Add(simSendTime)
	h.open[g.Shard]++
	h.runLater(h.c.between(0, 5), func() {
		h.open[g.Shard]--
		if h.clock().After(deadline) {
			return
		}
		actual := h.c.actual(g.Shard)
		late := time.Duration(float64(simSendTime) * (1 + h.lease.ClockRate))
		if g.Epoch < actual.rowEpoch && h.c.now.Sub(actual.rowEpochAt) > late {
			h.c.fail("shard %s: %s under epoch %d, %v after epoch %d began", g.Shard, leasesRenewed, g.Epoch, h.c.now.Sub(actual.rowEpochAt), actual.rowEpoch)
		}
		if g.Epoch < actual.rowEpoch {
			h.c.lateRenewals++
		}
		h.c.renewals++
		actual.maxGap = max(actual.maxGap, h.c.now.Sub(actual.renewedAt))
		actual.renewedAt = h.c.now
	})
}

// ownersChanged records the owners set by a transaction.
func (c *simCluster) ownersChanged(tx infra.Transaction) {
	for _, wr := range tx.Writes {
		row, err := DecodeShardRow(wr.Value)
		if err != nil || !strings.HasPrefix(wr.Key, ShardPrefix) {
			continue
		}
		actual := c.actual(shardOfKey(wr.Key))
		if row.Epoch > actual.rowEpoch {
			actual.rowEpoch = row.Epoch
			actual.rowEpochAt = c.now
		}
	}
}

// commitAsOwner renews task leases and commits to the table as the owner of a
// worker shard.
func (h *simHost) commitAsOwner(g Grant) {
	if g.At(h.clock()) != Full {
		return
	}
	h.renewTasks(g)
	tx := infra.Transaction{Conditions: []infra.Condition{{Key: ShardKey(g.Shard), Version: g.Version}}}
	if h.c.unfenced {
		tx.Conditions = nil
	}
	h.runLater(h.c.between(0, 5), func() {
		h.c.after(h.delay(), func() {
			if h.tableFails() || h.c.table.commit(tx).Status != infra.CommitApplied {
				return
			}
			h.c.commits++
			actual := h.c.actual(g.Shard)
			if g.Epoch < actual.commitEpoch {
				h.c.fail("shard %s: commit under epoch %d after one under epoch %d", g.Shard, g.Epoch, actual.commitEpoch)
			}
			actual.commitEpoch = g.Epoch
		})
	})
}
