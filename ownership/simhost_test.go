package ownership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// simHost simulates an entry host: a machine, its clock, and a traffic path
// that always has more requests than its grants allow.
type simHost struct {
	c         *simCluster
	name      string
	zone      string
	clockRate float64
	// lease and maxRun are this host's settings.
	lease  settings.Lease
	maxRun time.Duration

	alive       bool
	incarnation int
	machine     *Machine
	roster      roster.Roster
	newestList  infra.MemberList
	// pausedUntil is when the current pause of the process ends.
	pausedUntil      time.Time
	tablePartitioned bool
	readsFail        bool
	// listPartitioned makes the host miss membership lists.
	listPartitioned bool
	// ackLossPercent is the probability that the answer to a write is lost.
	ackLossPercent int
	// slowShardWritePercent is the probability that a write of a shard's row
	// reaches the table only after some seconds.
	slowShardWritePercent int
	// open counts the requests of this process that are in its write window or
	// at endpoints; writing counts those in the window.
	open, writing map[string]int
}

// clock returns the time of this host's monotonic clock.
func (h *simHost) clock() time.Time {
	elapsed := h.c.now.Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(time.Duration(float64(elapsed) * h.clockRate))
}

// start starts a new process.
func (h *simHost) start() {
	h.alive = true
	h.incarnation++
	h.pausedUntil = time.Time{}
	h.open, h.writing = map[string]int{}, map[string]int{}
	h.roster = roster.Roster{}
	h.machine = New(Config{
		Host: h.name, Incarnation: fmt.Sprintf("%s-%033d", h.name, h.incarnation),
		Lease: h.lease, MaxRun: h.maxRun,
	}, h.clock())
	h.machine.flaws = h.c.flaws
	h.readList(0, h.newestList)
	h.tick()
	h.traffic()
}

// readList delivers a membership list to the host after a lag.
func (h *simHost) readList(lag time.Duration, list infra.MemberList) {
	h.c.after(lag, func() {
		if h.listPartitioned || list.Revision < h.newestList.Revision {
			return
		}
		h.newestList = list
		h.runLater(0, func() {
			h.roster = roster.Build(h.roster, h.newestList, h.lease)
			h.execute(h.machine.SetRoster(h.clock(), h.roster))
		})
	})
}

// runLater schedules a function of this process. It is delayed by a pause, and
// not called if the process has ended.
func (h *simHost) runLater(d time.Duration, do func()) {
	incarnation := h.incarnation
	h.c.after(d, func() {
		if !h.alive || h.incarnation != incarnation {
			return
		}
		if h.c.now.Before(h.pausedUntil) {
			h.runLater(h.pausedUntil.Sub(h.c.now), do)
			return
		}
		do()
	})
}

// tick calls the machine's Tick periodically.
func (h *simHost) tick() {
	h.runLater(h.lease.Renew.D()/4, func() {
		h.execute(h.machine.Tick(h.clock()))
		h.tick()
	})
}

// execute performs actions.
func (h *simHost) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Commit:
			h.commit(a.Tx, func(r infra.CommitResult) { h.execute(h.machine.Committed(h.clock(), a.ID, r)) })
		case Read:
			h.read(a)
		case AskPromise:
			var reply PromiseReply
			h.call(a.Host, func(p *simHost) { reply = p.promise(a.Request) },
				func() { h.execute(h.machine.PromiseReplied(h.clock(), a.ID, reply)) },
				func() { h.execute(h.machine.AskFailed(h.clock(), a.ID)) })
		case AskStopped:
			var reply StoppedReply
			h.call(a.Host, func(p *simHost) { reply = p.stopped(a.Request) },
				func() { h.execute(h.machine.StoppedReplied(h.clock(), a.ID, reply)) },
				func() { h.execute(h.machine.AskFailed(h.clock(), a.ID)) })
		case Notify:
			h.call(a.Host, func(p *simHost) {
				h.c.notifyBytes += len(a.Updates) * 60
				p.execute(p.machine.Notified(p.clock(), a.Updates))
			}, func() {}, func() {})
		case Drain:
			h.drain(a)
		case Report:
			if a.Kind == ShardSeized {
				h.c.seizures++
			}
		}
	}
}

func (h *simHost) promise(r PromiseRequest) PromiseReply {
	reply, actions := h.machine.PromiseAsked(h.clock(), r)
	h.execute(actions)
	return reply
}

func (h *simHost) stopped(r StoppedRequest) StoppedReply {
	reply, actions := h.machine.StoppedAsked(h.clock(), r)
	h.execute(actions)
	return reply
}

// tableFails reports whether requests to the table fail.
func (h *simHost) tableFails() bool { return h.c.tableDown || h.tablePartitioned }

// delay returns a random one-way network delay, occasionally a long one.
func (h *simHost) delay() time.Duration {
	if h.c.chance(2) {
		return h.c.between(100, 3000)
	}
	return h.c.between(1, 20)
}

// firstOf returns a function that calls its argument unless the timeout has
// expired or it was called before.
func (h *simHost) firstOf(timeout time.Duration, expired func()) func(func()) {
	done := false
	h.runLater(timeout, func() {
		if !done {
			done = true
			expired()
		}
	})
	return func(do func()) {
		if !done {
			done = true
			do()
		}
	}
}

// commit sends a transaction. It may take effect even if its answer is lost or
// late.
func (h *simHost) commit(tx infra.Transaction, done func(infra.CommitResult)) {
	h.c.writes++
	first := h.firstOf(time.Second, func() { done(infra.CommitResult{}) })
	h.c.after(h.commitDelay(tx), func() {
		if h.tableFails() {
			if h.c.chance(50) {
				h.runLater(0, func() { first(func() { done(infra.CommitResult{Status: infra.CommitNotApplied}) }) })
			}
			return
		}
		result := h.c.table.commit(tx)
		if result.Status == infra.CommitApplied {
			h.c.ownersChanged(tx)
		}
		if h.c.chance(h.c.lossPercent) || h.c.chance(h.ackLossPercent) {
			return
		}
		h.runLater(h.delay(), func() { first(func() { done(result) }) })
	})
}

// commitDelay returns a random delay of a transaction on its way to the table.
func (h *simHost) commitDelay(tx infra.Transaction) time.Duration {
	if h.slowShardWritePercent > 0 && writesShard(tx) && h.c.chance(h.slowShardWritePercent) {
		return h.c.between(500, 6000)
	}
	return h.delay()
}

// writesShard reports whether a transaction writes a shard's row.
func writesShard(tx infra.Transaction) bool {
	return len(tx.Writes) > 0 && strings.HasPrefix(tx.Writes[0].Key, ShardPrefix)
}

// read scans the sessions and then the shards, or gets rows by key and then
// scans a page of shards.
func (h *simHost) read(a Read) {
	first := h.firstOf(time.Second, func() { h.execute(h.machine.ReadFailed(h.clock(), a.ID)) })
	h.c.after(h.delay(), func() {
		var found, shards []infra.Row
		if a.Full {
			found = h.c.table.scan(SessionPrefix)
		} else {
			found = h.c.table.get(a.Keys)
		}
		if len(found) > 0 {
			h.c.reads++
		}
		h.c.after(h.delay(), func() {
			h.c.reads++
			shards = h.c.table.scan(ShardPrefix)
			if !a.Full {
				shards = slices.DeleteFunc(shards, func(r infra.Row) bool { return r.Key <= a.After })
				shards = shards[:min(a.Limit, len(shards))]
			}
			h.c.readBytes += sizeOf(found) + sizeOf(shards)
			if h.tableFails() || h.readsFail || h.c.readsDown || h.c.chance(h.c.lossPercent) {
				return
			}
			h.runLater(h.delay(), func() {
				first(func() {
					if a.Full {
						h.execute(h.machine.RowsRead(h.clock(), a.ID, found, shards))
						return
					}
					h.execute(h.machine.KeysRead(h.clock(), a.ID, found, shards, a.Limit))
				})
			})
		})
	})
}

// call sends a request to a peer.
func (h *simHost) call(to string, handle func(*simHost), answered, failed func()) {
	first := h.firstOf(time.Second, failed)
	for _, p := range h.c.hosts {
		if p.name != to {
			continue
		}
		h.c.after(h.delay(), func() {
			if h.c.partitioned(h.name, p.name) {
				return
			}
			p.runLater(0, func() {
				handle(p)
				if h.c.partitioned(h.name, p.name) || h.c.chance(h.c.lossPercent) {
					return
				}
				h.runLater(h.delay(), func() { first(answered) })
			})
		})
	}
}

// partitioned reports whether two hosts cannot communicate.
func (c *simCluster) partitioned(a, b string) bool {
	return c.partitions[[2]string{min(a, b), max(a, b)}]
}
