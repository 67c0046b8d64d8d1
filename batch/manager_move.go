package batch

import (
	"context"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

// offerRequest asks a shard's owner which of the jobs it accepts.
type offerRequest struct {
	Shard string      `msgpack:"h"`
	Specs []task.Spec `msgpack:"s"`
	// FromClosedZone is set if the shard that offers the jobs can't start them, as its
	// availability zone is closed.
	FromClosedZone bool `msgpack:"c,omitempty"`
}

// offerReply lists the accepted jobs.
type offerReply struct {
	IDs []string `msgpack:"i"`
	// Version is the version of the shard's row, on which the hand-over is
	// conditional.
	Version uint64 `msgpack:"v"`
	Load    int    `msgpack:"l"`
}

// movedRequest notifies a shard's owner of jobs handed over to it.
type movedRequest struct {
	Shard string   `msgpack:"h"`
	IDs   []string `msgpack:"i"`
}

type movedReply struct{}

// moveJobs offers pending jobs to another shard, and reads the rows of accepted
// jobs whose notification is overdue.
func (m *Manager) moveJobs(now time.Time, o *ownedShard) {
	if specs := o.offerableJobs(now); len(specs) > 0 {
		closed := o.zoneClosed
		m.goroutines.Go(func() { m.offer(o, specs, closed) })
	}
	if now.Before(o.nextExpectedCheck) {
		return
	}
	o.nextExpectedCheck = now.Add(expectedCheckInterval)
	if ids := o.overdueJobs(now); len(ids) > 0 {
		m.goroutines.Go(func() { m.fetchExpected(m.context, o, ids) })
	}
}

// offer offers the jobs to the less loaded of two random shards and hands over
// those that it accepts. fromClosedZone is set if the availability zone of o is closed.
func (m *Manager) offer(o *ownedShard, specs []task.Spec, fromClosedZone bool) {
	ctx, cancel := context.WithTimeout(m.context, m.config.Timeout)
	defer cancel()
	others := slices.DeleteFunc(m.openShards(m.candidates(specs[0].Zones)), func(s string) bool { return s == o.name })
	if len(others) == 0 {
		return
	}
	to := m.pick(others)
	request := offerRequest{Shard: to, Specs: specs, FromClosedZone: fromClosedZone}
	r, kind := call[offerReply](ctx, m, to, methodOffer, request, func(ctx context.Context) (offerReply, bool) {
		return m.offerLocal(ctx, request)
	})
	if kind != outcome.Answered {
		return
	}
	m.setLoad(to, r.Load)
	condition := infra.Condition{Key: shardKey(to), Version: r.Version}
	for _, id := range r.IDs {
		m.post(func(now time.Time) {
			o.handOver(now, id, condition, to, func(ok bool) {
				if ok {
					m.goroutines.Go(func() { m.notifyMoved(to, id) })
				}
			})
		})
	}
}

// notifyMoved notifies the owner of the new shard of a job. If the notification
// is lost, the owner finds the row by itself.
func (m *Manager) notifyMoved(to, id string) {
	ctx, cancel := context.WithTimeout(m.context, m.config.Timeout)
	defer cancel()
	request := movedRequest{Shard: to, IDs: []string{id}}
	call[movedReply](ctx, m, to, methodMoved, request, func(ctx context.Context) (movedReply, bool) {
		return m.movedLocal(ctx, request)
	})
}

// offerLocal handles an offer to a local shard.
func (m *Manager) offerLocal(ctx context.Context, r offerRequest) (offerReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(offerReply)) {
		o := m.shards[r.Shard]
		if o == nil || !o.grantValid(now) {
			reply(offerReply{})
			return
		}
		reply(offerReply{IDs: o.acceptOffer(now, r.Specs, r.FromClosedZone), Version: o.fence.Version, Load: o.pending})
	})
}

// movedLocal reads jobs that were handed over to a local shard.
func (m *Manager) movedLocal(ctx context.Context, r movedRequest) (movedReply, bool) {
	o, ok := await(ctx, m, func(_ time.Time, reply func(*ownedShard)) { reply(m.shards[r.Shard]) })
	if ok && o != nil {
		m.fetchExpected(ctx, o, r.IDs)
	}
	return movedReply{}, ok
}

// fetchExpected reads the rows of expected jobs and adds those found to the
// shard.
func (m *Manager) fetchExpected(ctx context.Context, o *ownedShard, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, jobKey(o.name, id))
	}
	rows, err := m.config.Table.Get(ctx, keys...)
	if err != nil {
		return // retried after expectedCheckInterval
	}
	m.post(func(now time.Time) {
		for _, row := range rows {
			record, err := decodeRecord(row.Value)
			if row.Version != 0 && err == nil && m.isCurrent(o) {
				o.adoptMoved(now, storedRecord{record: record, version: row.Version})
			}
		}
	})
}
