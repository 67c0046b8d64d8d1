package batch

import (
	"context"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

// offerRequest asks a shard's owner which jobs it would take over.
type offerRequest struct {
	Shard string      `msgpack:"h"`
	Specs []task.Spec `msgpack:"s"`
}

// offerReply names the jobs that would be taken.
type offerReply struct {
	IDs []string `msgpack:"i"`
	// Version is of the shard's row, a condition of the hand-over.
	Version uint64 `msgpack:"v"`
	Load    int    `msgpack:"l"`
}

// movedRequest tells a shard's owner of jobs that were handed over to it.
type movedRequest struct {
	Shard string   `msgpack:"h"`
	IDs   []string `msgpack:"i"`
}

// movedReply is empty.
type movedReply struct{}

// move offers jobs that wait to another shard, and looks for jobs that this
// shard accepted and did not hear of.
func (m *Manager) move(now time.Time, o *owned) {
	if specs := o.surplus(now); len(specs) > 0 {
		m.tasks.Go(func() { m.offer(o, specs) })
	}
	if now.Before(o.nextCheck) {
		return
	}
	o.nextCheck = now.Add(checkAfter)
	if ids := o.overdue(now); len(ids) > 0 {
		m.tasks.Go(func() { m.fetch(m.context, o, ids) })
	}
}

// offer asks the less loaded of two shards to take the jobs, and hands over
// those that it accepts.
func (m *Manager) offer(o *owned, specs []task.Spec) {
	ctx, cancel := context.WithTimeout(m.context, m.config.Timeout)
	defer cancel()
	others := slices.DeleteFunc(m.candidates(specs[0].Zones), func(s string) bool { return s == o.name })
	if len(others) == 0 {
		return
	}
	to := m.pick(others)
	request := offerRequest{Shard: to, Specs: specs}
	r, kind := call[offerReply](ctx, m, to, methodOffer, request, func(ctx context.Context) (offerReply, bool) {
		return m.offerHere(ctx, request)
	})
	if kind != outcome.Answered {
		return
	}
	m.heard(to, r.Load)
	condition := infra.Condition{Key: shardKey(to), Version: r.Version}
	for _, id := range r.IDs {
		m.post(func(now time.Time) {
			o.moveOut(now, id, condition, to, func(ok bool) {
				if ok {
					m.tasks.Go(func() { m.tellMoved(to, id) })
				}
			})
		})
	}
}

// tellMoved tells the new shard's owner of a job. If that is lost, the owner
// reads the row by itself.
func (m *Manager) tellMoved(to, id string) {
	ctx, cancel := context.WithTimeout(m.context, m.config.Timeout)
	defer cancel()
	request := movedRequest{Shard: to, IDs: []string{id}}
	call[movedReply](ctx, m, to, methodMoved, request, func(ctx context.Context) (movedReply, bool) {
		return m.movedHere(ctx, request)
	})
}

// offerHere answers for a local shard.
func (m *Manager) offerHere(ctx context.Context, r offerRequest) (offerReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(offerReply)) {
		o := m.shards[r.Shard]
		if o == nil || !o.live(now) {
			reply(offerReply{})
			return
		}
		reply(offerReply{IDs: o.accepts(now, r.Specs), Version: o.fence.Version, Load: o.pending})
	})
}

// movedHere reads jobs that were handed over to a local shard.
func (m *Manager) movedHere(ctx context.Context, r movedRequest) (movedReply, bool) {
	o, ok := await(ctx, m, func(_ time.Time, reply func(*owned)) { reply(m.shards[r.Shard]) })
	if ok && o != nil {
		m.fetch(ctx, o, r.IDs)
	}
	return movedReply{}, ok
}

// fetch reads jobs that the shard expects and takes in those that are there.
func (m *Manager) fetch(ctx context.Context, o *owned, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, jobKey(o.name, id))
	}
	rows, err := m.config.Table.Get(ctx, keys...)
	if err != nil {
		return // looked for again after checkAfter
	}
	m.post(func(now time.Time) {
		for _, row := range rows {
			record, err := decodeRecord(row.Value)
			if row.Version != 0 && err == nil && m.holds(o) {
				o.arrive(now, stored{record: record, version: row.Version})
			}
		}
	})
}
