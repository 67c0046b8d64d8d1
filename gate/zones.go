package gate

import (
	"context"
	"log/slog"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// maxZoneAttempts bounds how often a change of a zone is made again on a newer version,
// after another change was accepted first.
const maxZoneAttempts = 5

// CloseZone implements configs.Service.
func (s *configsService) CloseZone(ctx context.Context, p *configs.ZoneChange) (*configs.ConfigVersion, error) {
	if !s.hasZone(p.Zone) {
		return nil, configProblem("bad_request", "no host, endpoint or worker is in availability zone "+p.Zone, "zone")
	}
	return s.changeZone(ctx, p, true)
}

// OpenZone implements configs.Service.
func (s *configsService) OpenZone(ctx context.Context, p *configs.ZoneChange) (*configs.ConfigVersion, error) {
	return s.changeZone(ctx, p, false)
}

// changeZone closes or opens a zone in the newest configuration. It holds whatever else
// changed there, so a conflict is no reason to refuse it.
func (s *configsService) changeZone(ctx context.Context, p *configs.ZoneChange, closed bool) (*configs.ConfigVersion, error) {
	var content string
	var result configstore.Result
	for range maxZoneAttempts {
		head, before, err := s.newest(ctx)
		if err != nil {
			return nil, notApplied(err)
		}
		if slices.Contains(before.Zones.Closed, p.Zone) == closed {
			return versionOf(head), nil
		}
		before.Zones = before.Zones.With(p.Zone, closed)
		if content, err = settings.MarshalPolicy(before); err != nil {
			return nil, notApplied(err)
		}
		result = s.store.Apply(ctx, configstore.Change{Base: head.Version, Author: p.Author, Content: content})
		if result.Status != configstore.Conflict {
			break
		}
	}
	return s.respond(ctx, content, result)
}

// errNoConfig is the reason why a zone can't be closed before a configuration was applied:
// each host then uses the policy of its own folder.
var errNoConfig = errors.New("no configuration was applied yet; apply one first")

// newest reads the newest version and its policy.
func (s *configsService) newest(ctx context.Context) (configstore.Head, settings.Settings, error) {
	head, err := s.store.Head(ctx)
	if err != nil {
		return head, settings.Settings{}, err
	}
	if head.Version == 0 {
		return head, settings.Settings{}, errNoConfig
	}
	content, err := s.store.Content(ctx, head)
	if err != nil {
		return head, settings.Settings{}, err
	}
	policy, err := settings.ParsePolicy("config", content)
	return head, policy, err
}

// zonesOf returns the zones section of a version, empty if there is no such version: a
// change based on it is then refused.
func (s *configsService) zonesOf(ctx context.Context, version uint64) (settings.Zones, error) {
	if version == 0 {
		return settings.Zones{}, nil
	}
	content, err := s.store.ContentOf(ctx, version)
	if errors.Is(err, infra.ErrNotFound) {
		return settings.Zones{}, nil
	}
	if err != nil {
		return settings.Zones{}, err
	}
	policy, err := settings.ParsePolicy("config", content)
	return policy.Zones, err
}

// withZonesOf returns an older policy with the zones section of a version: a zone is
// closed for what happens there, not for the policy of the time.
func (s *configsService) withZonesOf(ctx context.Context, version uint64, old string) (string, error) {
	policy, err := settings.ParsePolicy("config", old)
	if err != nil {
		return "", err
	}
	if policy.Zones, err = s.zonesOf(ctx, version); err != nil {
		return "", err
	}
	return settings.MarshalPolicy(policy)
}

// hasZone reports whether any member is in an availability zone.
func (g *Gate) hasZone(zone string) bool {
	r := g.roster.Load()
	inZone := func(m infra.Member) bool { return m.Zone == zone }
	if slices.ContainsFunc(r.EntryHosts(), inZone) || slices.ContainsFunc(r.Workers(), inZone) {
		return true
	}
	return slices.ContainsFunc(r.Services(), func(service string) bool {
		return slices.ContainsFunc(r.Endpoints(service), inZone)
	})
}

// setClosedZones tells the components which availability zones are closed.
func (g *Gate) setClosedZones(c configstore.Current) {
	zones := c.Settings.Zones.Closed
	if before := g.closedZones.Swap(&zones); before == nil || !slices.Equal(*before, zones) {
		if before != nil || len(zones) > 0 {
			event.ClosedZonesChanged.Log(g.deps.Log, slog.Any("zones", zones), slog.Uint64("version", c.Head.Version))
		}
	}
	g.gateway.SetClosedZones(zones)
	g.batch.SetClosedZones(zones)
}

// closedZoneNames returns the availability zones that are closed, as far as this host
// knows.
func (g *Gate) closedZoneNames() []string {
	if zones := g.closedZones.Load(); zones != nil {
		return slices.Clone(*zones)
	}
	return nil
}
