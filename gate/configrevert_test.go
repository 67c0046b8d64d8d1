package gate

import (
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// TestReplacedHostDoesNotRevert checks that a host that had the newest version
// in force does not go back to an older one when its process is replaced while
// the store is down, although most of its peers have the older one: another host
// with the newest version can't be reached.
func TestReplacedHostDoesNotRevert(t *testing.T) {
	c := newCluster(5)
	for _, name := range []string{"h0", "h1"} {
		c.hosts[name].watcher.ApplyIfNewer(offered(t, 2))
	}
	for _, name := range []string{"h2", "h3", "h4"} {
		c.hosts[name].watcher.ApplyIfNewer(offered(t, 1))
	}
	table := standin.NewTable()
	table.Set(standin.Faults{Down: true})
	replaced := c.hosts["h0"]
	replaced.watcher = configstore.NewWatcher(
		&configstore.Store{Table: table, Objects: standin.NewObjects(), Now: time.Now}, settings.Default(), slog.New(slog.DiscardHandler))
	replaced.watcher.Poll(t.Context())
	c.unreachable = map[string]bool{"h1": true}
	replaced.fetchFromPeers(t.Context())
	if v, ok := replaced.watcher.Version(); ok && v < 2 {
		t.Errorf("version %d in force after the process was replaced, want 2 or none yet", v)
	}
}
