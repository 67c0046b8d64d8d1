package configstore

import (
	"log/slog"
	"testing"

	"github.com/fireflygate/fireflygate/settings"
)

// TestCheckedPolicyIsNotShared checks that a policy that was checked before it is put
// into force is the one offered, and that its readers can't change what a later version
// with the same text puts into force.
func TestCheckedPolicyIsNotShared(t *testing.T) {
	policy := settings.Default()
	policy.Teams = map[string]settings.Team{"routes": {Weight: 1, MilliCPU: 6000}}
	text, err := settings.MarshalPolicy(policy)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWatcher(nil, settings.Default(), slog.New(slog.DiscardHandler))
	for version := uint64(1); version <= 2; version++ {
		o := Offer{Head: Head{Version: version, Hash: Hash(text)}, Content: text}
		if !w.Valid(o) || !w.ApplyIfNewer(o) {
			t.Fatalf("version %d was not applied", version)
		}
		if got := w.shared().Teams["routes"].MilliCPU; got != 6000 {
			t.Errorf("version %d: quota %d, want the 6000 that was accepted", version, got)
		}
		w.shared().Teams["routes"] = settings.Team{MilliCPU: 1}
	}
	other := Offer{Head: Head{Version: 3, Hash: Hash(content(7))}, Content: content(7)}
	if !w.Valid(other) || !w.ApplyIfNewer(other) || w.Calls().Queue != 7 {
		t.Errorf("queue %d after another text, want 7", w.Calls().Queue)
	}
}
