package dispatch_test

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
)

// oldRunLocation and oldProgressRow are rows of a release that knows no crashes.
type (
	oldRunLocation struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

		Occurrence, Step, Index int
		WorkerHash              uint32
	}
	oldProgressRow struct {
		Running []oldRunLocation `msgpack:"r,omitempty"`
	}
)

// TestProgressRowOfOtherRelease checks that progress is read by the release before and
// from it, since both own the domain in turn while hosts are updated.
func TestProgressRowOfOtherRelease(t *testing.T) {
	old := oldProgressRow{Running: []oldRunLocation{{Step: 1, Index: 2, WorkerHash: 3}, {Index: 4, WorkerHash: 5}}}
	text, err := msgpack.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	row, err := dispatch.DecodeProgressRow(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []dispatch.RunLocation{{Step: 1, Index: 2, WorkerHash: 3}, {Index: 4, WorkerHash: 5}}
	if !reflect.DeepEqual(row.Running, want) {
		t.Errorf("running %+v, want %+v", row.Running, want)
	}
	row.Unproven = row.Running[:1]
	row.Reason, row.Crashed = "reason", []dispatch.CrashedWorkers{{Early: []uint32{7}}}
	if text, err = msgpack.Marshal(row); err != nil {
		t.Fatal(err)
	}
	var back oldProgressRow
	if err := msgpack.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(back, old) {
		t.Errorf("the release before reads %+v (%v), want %+v", back, err, old)
	}
}
