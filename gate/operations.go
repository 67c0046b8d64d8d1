package gate

import (
	"context"
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/outcome"
)

// operationsService implements operations.Service.
type operationsService struct{ gate *Gate }

// Status implements operations.Service.
func (s *operationsService) Status(context.Context) (*operations.HostStatus, error) {
	g := s.gate
	counts := g.batch.Counts()
	st := &operations.HostStatus{
		Name:      g.local.Host.Name,
		Zone:      g.local.Host.Zone,
		State:     g.State().String(),
		Build:     g.deps.Build,
		StoreOK:   g.ownershipDriver.StoreOK(),
		Leases:    s.leases(),
		Peers:     map[string]int64{},
		Endpoints: s.endpoints(),
		Workers:   counts.Workers,
		Pending:   counts.Pending,
		Running:   counts.Running,

		ClosedZones: g.closedZoneNames(),
	}
	version, _ := g.watcher.Version()
	st.ConfigVersion = int64(version)
	st.Peers[st.Name] = st.ConfigVersion
	for host, version := range g.configSync.peerVersions() {
		st.Peers[host] = int64(version)
	}
	return st, nil
}

// leases returns the shards held by this host, sorted by name.
func (s *operationsService) leases() []*operations.LeaseStatus {
	now := s.gate.deps.Now()
	out := []*operations.LeaseStatus{}
	for _, grant := range s.gate.ownershipDriver.Snapshot().Grants {
		out = append(out, &operations.LeaseStatus{
			Shard: grant.Shard, Epoch: int64(grant.Epoch), Share: grant.At(now).String(),
		})
	}
	slices.SortFunc(out, func(a, b *operations.LeaseStatus) int { return strings.Compare(a.Shard, b.Shard) })
	return out
}

// endpoints returns the number of endpoints in the shards held by this host.
func (s *operationsService) endpoints() int {
	n := 0
	r := s.gate.roster.Load()
	for shard := range s.gate.ownershipDriver.Snapshot().Grants {
		if strings.HasPrefix(shard, endpointShards) {
			n += len(r.Members(shard))
		}
	}
	return n
}

// Events implements operations.Service.
func (s *operationsService) Events(ctx context.Context) ([]*operations.EventStatus, error) {
	return s.gate.events(ctx), nil
}

// Report implements operations.Service.
func (s *operationsService) Report(ctx context.Context) ([]*operations.BurnReport, error) {
	reports, err := s.gate.slo.Reports(ctx)
	if err != nil && len(reports) == 0 {
		return nil, &operations.Problem{Name: "unavailable", Title: err.Error(), Outcome: outcome.NotRun.String()}
	}
	out := make([]*operations.BurnReport, 0, len(reports))
	for _, r := range reports {
		out = append(out, reportOf(r, err))
	}
	return out, nil
}

// Drain implements operations.Service.
func (s *operationsService) Drain(context.Context) error {
	s.gate.BeginDrain()
	return nil
}
