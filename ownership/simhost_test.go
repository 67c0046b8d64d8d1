package ownership

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// simHost is one entry host: a machine, its clock, and a traffic path that
// always has more to send than it may.
type simHost struct {
	w    *world
	name string
	zone string
	rate float64
	// lease and maxRun are this host's settings.
	lease  settings.Lease
	maxRun time.Duration

	alive       bool
	incarnation int
	machine     *Machine
	roster      roster.Roster
	newest      infra.MemberList
	// pausedUntil is when a pause ends.
	pausedUntil time.Time
	storeCut    bool
	readsCut    bool
	// deaf is the chance in percent that an answer to a write is lost.
	deaf int
	// open counts requests that this process knows to be in its window or
	// at endpoints; writing those in the window alone.
	open, writing map[string]int
}

// clock is this host's monotonic clock.
func (h *simHost) clock() time.Time {
	past := h.w.now.Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(time.Duration(float64(past) * h.rate))
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
	h.machine.flaws = h.w.flaws
	h.readList(0, h.newest)
	h.tick()
	h.traffic()
}

// readList has the host read a list after a lag.
func (h *simHost) readList(lag time.Duration, list infra.MemberList) {
	h.w.after(lag, func() {
		if list.Revision < h.newest.Revision {
			return
		}
		h.newest = list
		h.later(0, func() {
			h.roster = roster.Build(h.roster, h.newest, h.lease)
			h.do(h.machine.SetRoster(h.clock(), h.roster))
		})
	})
}

// later has this process do something, after its pause if it is paused, and
// not at all if it dies before.
func (h *simHost) later(d time.Duration, do func()) {
	incarnation := h.incarnation
	h.w.after(d, func() {
		if !h.alive || h.incarnation != incarnation {
			return
		}
		if h.w.now.Before(h.pausedUntil) {
			h.later(h.pausedUntil.Sub(h.w.now), do)
			return
		}
		do()
	})
}

// tick lets time pass for the machine, again and again.
func (h *simHost) tick() {
	h.later(h.lease.Renew.D()/4, func() {
		h.do(h.machine.Tick(h.clock()))
		h.tick()
	})
}

// do carries actions out.
func (h *simHost) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Commit:
			h.commit(a.Tx, func(r infra.CommitResult) { h.do(h.machine.Committed(h.clock(), a.ID, r)) })
		case Read:
			h.read(a)
		case AskPromise:
			var reply PromiseReply
			h.call(a.Host, func(p *simHost) { reply = p.promise(a.Request) },
				func() { h.do(h.machine.PromiseReplied(h.clock(), a.ID, reply)) },
				func() { h.do(h.machine.AskFailed(h.clock(), a.ID)) })
		case AskStopped:
			var reply StoppedReply
			h.call(a.Host, func(p *simHost) { reply = p.stopped(a.Request) },
				func() { h.do(h.machine.StoppedReplied(h.clock(), a.ID, reply)) },
				func() { h.do(h.machine.AskFailed(h.clock(), a.ID)) })
		case Notify:
			h.call(a.Host, func(p *simHost) { h.w.told += len(a.Updates) * 60; p.do(p.machine.Notified(p.clock(), a.Updates)) }, func() {}, func() {})
		case Drain:
			h.drain(a)
		case Report:
			if a.Kind == ShardSeized {
				h.w.seizures++
			}
		}
	}
}

func (h *simHost) promise(r PromiseRequest) PromiseReply {
	reply, actions := h.machine.PromiseAsked(h.clock(), r)
	h.do(actions)
	return reply
}

func (h *simHost) stopped(r StoppedRequest) StoppedReply {
	reply, actions := h.machine.StoppedAsked(h.clock(), r)
	h.do(actions)
	return reply
}

// storeFails decides what becomes of a request to the table.
func (h *simHost) storeFails() bool { return h.w.storeDown || h.storeCut }

// delay is the time of one way to the table or a peer, sometimes long.
func (h *simHost) delay() time.Duration {
	if h.w.chance(2) {
		return h.w.between(100, 3000)
	}
	return h.w.between(1, 20)
}

// once passes the first of a result and a timeout on.
func (h *simHost) once(timeout time.Duration, expired func()) func(func()) {
	done := false
	h.later(timeout, func() {
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

// commit sends a transaction. It may take effect though the answer is lost or
// comes too late.
func (h *simHost) commit(tx infra.Transaction, done func(infra.CommitResult)) {
	h.w.writes++
	first := h.once(time.Second, func() { done(infra.CommitResult{}) })
	h.w.after(h.delay(), func() {
		if h.storeFails() {
			if h.w.chance(50) {
				h.later(0, func() { first(func() { done(infra.CommitResult{Status: infra.CommitNotApplied}) }) })
			}
			return
		}
		result := h.w.table.commit(tx)
		if result.Status == infra.CommitApplied {
			h.w.ownersChanged(tx)
		}
		if h.w.chance(h.w.lossy) || h.w.chance(h.deaf) {
			return
		}
		h.later(h.delay(), func() { first(func() { done(result) }) })
	})
}

// read scans the sessions, then the shards; or gets rows, then scans a page.
func (h *simHost) read(a Read) {
	first := h.once(time.Second, func() { h.do(h.machine.ReadFailed(h.clock(), a.ID)) })
	h.w.after(h.delay(), func() {
		var one, two []infra.Row
		if a.Full {
			one = h.w.table.scan(SessionPrefix)
		} else {
			one = h.w.table.get(a.Keys)
		}
		if len(one) > 0 {
			h.w.reads++
		}
		h.w.after(h.delay(), func() {
			h.w.reads++
			two = h.w.table.scan(ShardPrefix)
			if !a.Full {
				two = slices.DeleteFunc(two, func(r infra.Row) bool { return r.Key <= a.After })
				two = two[:min(a.Limit, len(two))]
			}
			h.w.readBytes += sizeOf(one) + sizeOf(two)
			if h.storeFails() || h.readsCut || h.w.readsDown || h.w.chance(h.w.lossy) {
				return
			}
			h.later(h.delay(), func() {
				first(func() {
					if a.Full {
						h.do(h.machine.RowsRead(h.clock(), a.ID, one, two))
						return
					}
					h.do(h.machine.KeysRead(h.clock(), a.ID, one, two, a.Limit))
				})
			})
		})
	})
}

// call asks a peer.
func (h *simHost) call(to string, handle func(*simHost), answered, failed func()) {
	first := h.once(time.Second, failed)
	for _, p := range h.w.hosts {
		if p.name != to {
			continue
		}
		h.w.after(h.delay(), func() {
			if h.w.isCut(h.name, p.name) {
				return
			}
			p.later(0, func() {
				handle(p)
				if h.w.isCut(h.name, p.name) || h.w.chance(h.w.lossy) {
					return
				}
				h.later(h.delay(), func() { first(answered) })
			})
		})
	}
}

// isCut reports whether two hosts cannot talk.
func (w *world) isCut(a, b string) bool { return w.cut[[2]string{min(a, b), max(a, b)}] }
