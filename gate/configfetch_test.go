package gate

import (
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// TestStartingHostNeedsMajority checks that a host that starts while the store
// is down applies a configuration only if a majority of its peers respond, since
// a single peer that was partitioned may have an old version.
func TestStartingHostNeedsMajority(t *testing.T) {
	c := newCluster(6)
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		c.hosts[name].watcher.ApplyIfNewer(offered(t, 2))
	}
	c.hosts["h5"].watcher.ApplyIfNewer(offered(t, 1))
	table := standin.NewTable()
	table.Set(standin.Faults{Down: true})
	starting := c.hosts["h0"]
	starting.watcher = configstore.NewWatcher(
		&configstore.Store{Table: table, Objects: standin.NewObjects(), Now: time.Now}, settings.Default(), slog.New(slog.DiscardHandler))

	starting.fetchFromPeers(t.Context())
	if v := starting.version(); v != 0 {
		t.Errorf("version %d in force before a read of the store has failed, want none", v)
	}
	starting.watcher.Poll(t.Context())
	c.unreachable = map[string]bool{"h1": true, "h2": true, "h3": true}
	c.hosts["h5"].sendOffer(t.Context(), "h0")
	starting.fetchFromPeers(t.Context())
	if v := starting.version(); v != 0 {
		t.Errorf("version %d in force with replies from a minority of the peers, want none", v)
	}
	c.unreachable = nil
	starting.fetchFromPeers(t.Context())
	if v := starting.version(); v != 2 {
		t.Errorf("version %d in force with replies from all peers, want 2", v)
	}
}
