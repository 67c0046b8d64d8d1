package gate

import (
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// TestStartingHostTakesWhatMostHave starts a host while the store is down and
// a peer that was parted from the others is behind. The peer's word alone must
// not bring its older version back.
func TestStartingHostTakesWhatMostHave(t *testing.T) {
	c := newCrowd(6)
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		c.hosts[name].watcher.ApplyIfNewer(offered(t, 2))
	}
	c.hosts["h5"].watcher.ApplyIfNewer(offered(t, 1))
	table := standin.NewTable()
	table.Set(standin.Faults{Down: true})
	starting := c.hosts["h0"]
	starting.watcher = configstore.NewWatcher(
		&configstore.Store{Table: table, Objects: standin.NewObjects(), Now: time.Now}, settings.Default(), slog.New(slog.DiscardHandler))

	starting.fetch(t.Context())
	if v := starting.version(); v != 0 {
		t.Errorf("version %d before the store was asked", v)
	}
	starting.watcher.Poll(t.Context())
	c.dead = map[string]bool{"h1": true, "h2": true, "h3": true}
	c.hosts["h5"].offer(t.Context(), "h0")
	starting.fetch(t.Context())
	if v := starting.version(); v != 0 {
		t.Errorf("version %d from a minority of the peers", v)
	}
	c.dead = nil
	starting.fetch(t.Context())
	if v := starting.version(); v != 2 {
		t.Errorf("version %d from all peers, want 2", v)
	}
}
