package batch

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/quota"
)

// Methods of the division of quotas.
const (
	methodQuota     peer.Method = "batch.quota"
	methodQuotaWant peer.Method = "batch.quota_want"
)

// wantRequest tells the host that divides teams' quotas which of them wait.
type wantRequest struct {
	Teams []string `msgpack:"t"`
}

// wantReply is empty.
type wantReply struct{}

// wantHere has the next rounds of teams that wait come soon.
func (m *Manager) wantHere(ctx context.Context, r wantRequest) (wantReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(wantReply)) {
		for _, team := range r.Teams {
			if d := m.divisions[team]; d != nil {
				d.hasten(now)
			}
		}
		reply(wantReply{})
	})
}

// quotaRequest tells a host what the division of a team's quota gives its
// shards, and asks what they hold.
type quotaRequest struct {
	Team string `msgpack:"t"`
	// Version is that of the division in the table, 0 if there is none yet.
	Version uint64       `msgpack:"v"`
	Shards  []shardBound `msgpack:"s"`
}

// shardBound is what one shard gets.
type shardBound struct {
	Shard string       `msgpack:"h"`
	Bound quota.Amount `msgpack:"b"`
	// Target is what it is to come down to.
	Target quota.Amount `msgpack:"t"`
}

// quotaReply holds a report on each shard that the host owns and that has the
// quota in force.
type quotaReply struct {
	Reports []shardReport `msgpack:"r"`
}

// shardReport is the report on one shard.
type shardReport struct {
	Shard string `msgpack:"h"`
	// Fence is the version of the shard's row.
	Fence  uint64       `msgpack:"f"`
	Report quota.Report `msgpack:"r"`
}

// quotaHere takes in a division and reports on the shards owned here.
func (m *Manager) quotaHere(ctx context.Context, q quotaRequest) (quotaReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(quotaReply)) {
		var out quotaReply
		for _, b := range q.Shards {
			o := m.shards[b.Shard]
			if o == nil || !o.live(now) {
				continue
			}
			if r, ok := o.divided(q.Team, q.Version, b); ok {
				out.Reports = append(out.Reports, shardReport{Shard: b.Shard, Fence: o.fence.Version, Report: r})
			}
		}
		reply(out)
	})
}
