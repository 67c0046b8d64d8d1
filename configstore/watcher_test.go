package configstore

import (
	"log/slog"
	"testing"

	"github.com/fireflygate/fireflygate/settings"
)

// TestReadersCantChangeThePolicy checks that changes to maps and slices returned
// by Current and Service, or passed to subscribers, don't alter the policy in
// force.
func TestReadersCantChangeThePolicy(t *testing.T) {
	local := settings.Default()
	local.Teams = map[string]settings.Team{"routes": {Weight: 1, MilliCPU: 6000}}
	local.Services = map[string]settings.Service{"dispatch": {Slots: 4, Connections: 8, IdempotentMethods: []string{"GET"}}}
	change := func(s settings.Settings) {
		s.Teams["routes"] = settings.Team{Weight: 1, MilliCPU: 2000}
		s.Services["dispatch"].IdempotentMethods[0] = "POST"
	}
	content, err := settings.MarshalPolicy(local)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWatcher(nil, local, slog.New(slog.DiscardHandler))
	w.Subscribe(func(c Current) { change(c.Settings) })
	change(local)
	for version := range uint64(2) { // the policy of the settings folder, then an applied version
		o := Offer{Head: Head{Version: version, ChangedKeys: []string{"teams"}}}
		if version > 0 {
			o.Head.Hash, o.Content = Hash(content), content
		}
		w.Service("dispatch").IdempotentMethods[0] = "POST"
		if !w.ApplyIfNewer(o) {
			t.Fatalf("version %d was not applied", version)
		}
		read, _ := w.Current()
		change(read.Settings)
		read.Head.ChangedKeys[0] = "services"
		w.Service("dispatch").IdempotentMethods[0] = "POST"

		now, _ := w.Current()
		if got := now.Settings.Teams["routes"].MilliCPU; got != 6000 {
			t.Errorf("version %d: the quota in force is %d, want the 6000 that was accepted", version, got)
		}
		if got := w.Service("dispatch").IdempotentMethods[0]; got != "GET" {
			t.Errorf("version %d: the idempotent method in force is %s, want GET", version, got)
		}
		if got := now.Head.ChangedKeys[0]; got != "teams" {
			t.Errorf("version %d: the changed key is %s, want teams", version, got)
		}
	}
}

// TestUnsetIdempotentMethodsStayUnset checks that a service without idempotent methods
// has none after its policy was applied, stored and read back, so that the default
// applies to its requests.
func TestUnsetIdempotentMethodsStayUnset(t *testing.T) {
	store, _ := newStore()
	policy := settings.Default()
	policy.Services = map[string]settings.Service{"dispatch": {Slots: 4, Connections: 8}}
	content, err := settings.MarshalPolicy(policy)
	if err != nil {
		t.Fatal(err)
	}
	if r := store.Apply(t.Context(), Change{Content: content}); r.Status != Accepted {
		t.Fatalf("%+v, want an accepted change", r)
	}
	w := NewWatcher(store, settings.Default(), slog.New(slog.DiscardHandler))
	w.Poll(t.Context())
	if got := w.Service("dispatch"); got.Slots != 4 || got.IdempotentMethods != nil {
		t.Errorf("service %+v, want four slots and no idempotent methods", got)
	}
}
