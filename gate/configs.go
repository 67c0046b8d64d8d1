package gate

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
)

const maxVersionsListed = 100

// configsService implements configs.Service.
type configsService struct {
	store   *configstore.Store
	watcher *configstore.Watcher
	// accept puts an accepted version into force and reports whether it is already.
	accept func(context.Context, configstore.Offer) bool
	// hasZone reports whether any member is in an availability zone.
	hasZone func(zone string) bool
	log     *slog.Logger
}

// Apply implements configs.Service.
func (s *configsService) Apply(ctx context.Context, p *configs.ApplyPayload) (*configs.ConfigVersion, error) {
	policy, err := settings.ParsePolicy("config", p.Content)
	if err != nil {
		return nil, configProblem("bad_request", err.Error(), "content")
	}
	if policy.Zones.Closed == nil {
		if policy.Zones, err = s.zonesOf(ctx, uint64(p.Base)); err != nil {
			return nil, notApplied(err)
		}
	}
	content, err := settings.MarshalPolicy(policy)
	if err != nil {
		return nil, configProblem("bad_request", err.Error(), "content")
	}
	change := configstore.Change{Base: uint64(p.Base), Author: p.Author, Content: content}
	if p.DryRun != nil && *p.DryRun {
		return s.dryRun(change)
	}
	return s.respond(ctx, content, s.store.Apply(ctx, change))
}

// Rollback implements configs.Service.
func (s *configsService) Rollback(ctx context.Context, p *configs.RollbackPayload) (*configs.ConfigVersion, error) {
	content, result := s.store.Rollback(ctx, uint64(p.Base), uint64(p.To), p.Author, func(old string) (string, error) {
		return s.withZonesOf(ctx, uint64(p.Base), old)
	})
	if errors.Is(result.Err, infra.ErrNotFound) {
		return nil, configProblem("not_found", result.Err.Error(), "to")
	}
	return s.respond(ctx, content, result)
}

// Show implements configs.Service.
func (s *configsService) Show(context.Context) (*configs.ShowResult, error) {
	current, ok := s.watcher.Current()
	if !ok {
		return nil, configProblem("unavailable", "no configuration was read yet", "")
	}
	v := versionOf(current.Head)
	return &configs.ShowResult{
		Version: v.Version, Hash: v.Hash, Author: v.Author,
		AppliedUnixMs: v.AppliedUnixMs, Differs: v.Differs, Content: current.Content,
	}, nil
}

// Versions implements configs.Service.
func (s *configsService) Versions(ctx context.Context) ([]*configs.ConfigVersion, error) {
	heads, err := s.store.Versions(ctx, maxVersionsListed)
	if err != nil {
		return nil, configProblem("unavailable", err.Error(), "")
	}
	out := make([]*configs.ConfigVersion, 0, len(heads))
	for _, h := range heads {
		out = append(out, versionOf(h))
	}
	return out, nil
}

// dryRun compares a change with the configuration in force on this host.
func (s *configsService) dryRun(c configstore.Change) (*configs.ConfigVersion, error) {
	current, ok := s.watcher.Current()
	if !ok {
		return nil, configProblem("unavailable", "no configuration was read yet", "")
	}
	v := versionOf(current.Head)
	v.Hash = configstore.Hash(c.Content)
	v.Differs = configstore.ChangedKeys(current.Content, c.Content)
	return v, nil
}

// respond puts an accepted change into force, which may still be under way when it
// returns. For any other result it returns the problem to send to the operator.
func (s *configsService) respond(ctx context.Context, content string, r configstore.Result) (*configs.ConfigVersion, error) {
	switch r.Status {
	case configstore.Accepted:
		event.ConfigAccepted.Log(s.log, slog.Uint64("version", r.Head.Version), slog.String("author", r.Head.Author))
		if !s.accept(ctx, configstore.Offer{Head: r.Head, Content: content}) {
			event.ConfigAwaitsHosts.Log(s.log, slog.Uint64("version", r.Head.Version))
		}
		return versionOf(r.Head), nil
	case configstore.Conflict:
		event.ConfigConflict.Log(s.log, slog.Uint64("winner", r.Head.Version), slog.String("author", r.Head.Author))
		title := fmt.Sprintf("version %d by %s was accepted first; it differs from this change in: %s",
			r.Head.Version, r.Head.Author, strings.Join(r.ChangedKeys, " "))
		return nil, configProblem("conflict", title, "base")
	case configstore.NotApplied:
		return nil, notApplied(r.Err)
	default:
		return nil, unknownProblem(fmt.Sprint("may have been accepted: ", r.Err))
	}
}

func versionOf(h configstore.Head) *configs.ConfigVersion {
	return &configs.ConfigVersion{
		Version: int64(h.Version), Hash: h.Hash, Author: h.Author,
		AppliedUnixMs: h.AppliedUnixMS, Differs: h.ChangedKeys,
	}
}

// configProblem returns the problem for a request that was not applied.
func configProblem(name, title, field string) error {
	p := &configs.Problem{Name: name, Title: title, Outcome: outcome.NotRun.String()}
	if field != "" {
		p.Field = &field
	}
	return p
}

// notApplied returns the problem for a change that couldn't be made.
func notApplied(err error) error {
	return configProblem("unavailable", fmt.Sprint("not applied: ", err), "")
}

func unknownProblem(title string) error {
	return &configs.Problem{Name: "unknown_outcome", Title: title, Outcome: outcome.Unknown.String()}
}
