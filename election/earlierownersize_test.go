package election_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestOwnersThatEndAtOnceKeepRowSmall guards against a row that outgrows the table
// service's limit, so that nobody can own the domain any more, after many owners that
// ended before their first commit, as when the state can't be loaded.
func TestOwnersThatEndAtOnceKeepRowSmall(t *testing.T) {
	const maxRowBytes = 64 << 10
	table := memtable.New()
	for i := range 2000 {
		host := fmt.Sprint("edge-", i%3)
		row := acquireAs(t, table, host, host+"-1").Record()
		value, err := row.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(value) > maxRowBytes {
			t.Fatalf("after %d changes of owner the row has %d bytes and lists %d earlier owners, want at most %d bytes", i, len(value), len(row.Earlier), maxRowBytes)
		}
	}
}
