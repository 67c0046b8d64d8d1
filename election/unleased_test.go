package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestUnleasedWorkersAreNamedOn guards against a successor whose row forgets the workers that get
// no leases before it knows them itself, or counts their leases anew.
func TestUnleasedWorkersAreNamedOn(t *testing.T) {
	row := successorOf(&election.Record{}, "a", 0)
	row.Unleased = []election.UnleasedWorker{election.NewUnleasedWorker(7, 3*time.Second), election.NewUnleasedWorker(8, -time.Second)}
	value, err := row.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if row, err = election.Decode(value); err != nil {
		t.Fatal(err)
	}
	next := successorOf(&row, "b", 2*time.Second)
	if len(next.Unleased) != 2 {
		t.Fatalf("the row names %+v, want both workers", next.Unleased)
	}
	// The clocks of two hosts differ by 2%.
	const least, most = time.Second, 1200 * time.Millisecond
	if got := time.Duration(next.Unleased[0].LeasesMS) * time.Millisecond; next.Unleased[0].Worker != 7 || got < least || got > most {
		t.Errorf("%+v, want worker 7 with %v to %v", next.Unleased[0], least, most)
	}
	if next.Unleased[1].LeasesMS != 0 {
		t.Errorf("%+v, want no lease left", next.Unleased[1])
	}
}
