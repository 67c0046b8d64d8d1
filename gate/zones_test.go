package gate

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// racingTable is a table in which another operator's change is accepted before each of
// the first commits.
type racingTable struct {
	infra.Table
	races int
	race  func()
}

func (t *racingTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if t.races > 0 {
		t.races--
		t.race()
	}
	return t.Table.Commit(ctx, tx)
}

// zoneRig is the configuration service of one host.
type zoneRig struct {
	*configsService
	t     *testing.T
	table *racingTable
	// other changes the configuration without races.
	other *configstore.Store
}

func newZoneRig(t *testing.T) *zoneRig {
	t.Helper()
	r := &zoneRig{t: t, table: &racingTable{Table: memtable.New()}}
	objects := standin.NewObjects()
	r.other = &configstore.Store{Table: r.table.Table, Objects: objects, Now: time.Now}
	r.configsService = &configsService{
		store:   &configstore.Store{Table: r.table, Objects: objects, Now: time.Now},
		accept:  func(context.Context, configstore.Offer) bool { return true },
		hasZone: func(zone string) bool { return zone != "nowhere" },
		log:     slog.New(slog.DiscardHandler),
	}
	return r
}

// policy returns a policy with a queue length and, if not nil, closed zones.
func (r *zoneRig) policy(queue int, closed []string) string {
	s := settings.Default()
	s.Calls.Queue, s.Zones.Closed = queue, closed
	content, err := settings.MarshalPolicy(s)
	if err != nil {
		r.t.Fatal(err)
	}
	return content
}

func (r *zoneRig) apply(base int64, queue int, closed []string) {
	r.t.Helper()
	if _, err := r.Apply(r.t.Context(), &configs.ApplyPayload{Base: base, Author: "a", Content: r.policy(queue, closed)}); err != nil {
		r.t.Fatal(err)
	}
}

func (r *zoneRig) change(call func(context.Context, *configs.ZoneChange) (*configs.ConfigVersion, error), zone string) *configs.ConfigVersion {
	r.t.Helper()
	v, err := call(r.t.Context(), &configs.ZoneChange{Zone: zone, Author: "a"})
	if err != nil {
		r.t.Fatal(err)
	}
	return v
}

// want checks the newest configuration.
func (r *zoneRig) want(version uint64, queue int, closed ...string) {
	r.t.Helper()
	head, policy, err := r.newest(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	if head.Version != version || policy.Calls.Queue != queue || !slices.Equal(policy.Zones.Closed, closed) {
		r.t.Errorf("version %d with queue %d and closed zones %v, want %d, %d and %v",
			head.Version, policy.Calls.Queue, policy.Zones.Closed, version, queue, closed)
	}
}

// TestZonesStayClosed checks that only a command about a zone opens it: neither a folder
// that doesn't mention zones, nor an older configuration.
func TestZonesStayClosed(t *testing.T) {
	r := newZoneRig(t)
	r.apply(0, 10, nil)
	r.change(r.CloseZone, "y")
	r.change(r.CloseZone, "x")
	r.want(3, 10, "x", "y")
	r.apply(3, 20, nil)
	r.want(4, 20, "x", "y")
	if _, err := r.Rollback(t.Context(), &configs.RollbackPayload{Base: 4, To: 1, Author: "a"}); err != nil {
		t.Fatal(err)
	}
	r.want(5, 10, "x", "y")
	if v := r.change(r.CloseZone, "x"); v.Version != 5 {
		t.Errorf("closing a closed zone made version %d, want none", v.Version)
	}
	r.change(r.OpenZone, "x")
	r.change(r.OpenZone, "y")
	r.want(7, 10)
	r.apply(7, 20, []string{"x"})
	r.want(8, 20, "x")
}

// TestZoneChangeJoinsOthers checks that closing a zone succeeds while other operators
// change the configuration, and keeps their changes.
func TestZoneChangeJoinsOthers(t *testing.T) {
	r := newZoneRig(t)
	r.apply(0, 10, nil)
	queue := 10
	r.table.races = 2
	r.table.race = func() {
		queue++
		result := r.other.Apply(t.Context(), configstore.Change{Base: uint64(queue - 10), Author: "b", Content: r.policy(queue, nil)})
		if result.Status != configstore.Accepted {
			t.Fatalf("other operator: %+v", result)
		}
	}
	r.change(r.CloseZone, "x")
	r.want(4, 12, "x")
}

// TestZoneChangeIsRefused checks what operators get before a first configuration, and for
// a zone without members.
func TestZoneChangeIsRefused(t *testing.T) {
	r := newZoneRig(t)
	refused := func(what, name, zone string) {
		t.Helper()
		_, err := r.CloseZone(t.Context(), &configs.ZoneChange{Zone: zone, Author: "a"})
		var p *configs.Problem
		if !errors.As(err, &p) || p.Name != name || p.Outcome != "not_run" {
			t.Errorf("%s: %v, want a problem %q and nothing changed", what, err, name)
		}
	}
	refused("no configuration", "unavailable", "x")
	r.apply(0, 10, nil)
	refused("zone without members", "bad_request", "nowhere")
	r.want(1, 10)
}
