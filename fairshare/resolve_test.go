package fairshare_test

import (
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/fairshare"
	"github.com/fireflygate/fireflygate/workload"
)

// TestResolve checks that invalid shares leave those in force for their pool alone, and
// only for it. It guards against a faulty share that takes a guarantee away or that
// rejects other pools' shares.
func TestResolve(t *testing.T) {
	queues := []workload.Queue{{Name: "a", Pool: "p"}, {Name: "b", Pool: "p"}, {Name: "new", Pool: "p"}, {Name: "c", Pool: "other"}}
	before := []workload.Queue{
		{Name: "a", Pool: "p", GuaranteedShare: 0.4},
		{Name: "b", Pool: "p"},
		{Name: "new", Pool: "elsewhere", GuaranteedShare: 0.9},
		{Name: "c", Pool: "other", GuaranteedShare: 0.2},
	}
	kept := map[string]float64{"a": 0.4, "c": 0.7}
	for _, c := range []struct {
		name          string
		a, b, new     string // the texts of the shares, empty for none
		want          map[string]float64
		queue, bound  string
		value         float64
		valueIsNumber bool
	}{
		{name: "valid", a: "0.5", b: "0.5", want: map[string]float64{"a": 0.5, "b": 0.5, "c": 0.7}},
		{name: "whole pool in tenths", a: "0.7", b: "0.2", new: "0.1", want: map[string]float64{"a": 0.7, "b": 0.2, "new": 0.1, "c": 0.7}},
		{name: "no shares any more", want: map[string]float64{"c": 0.7}},
		{name: "sum above 1", a: "0.6", b: "0.5", new: "0.5", want: kept, queue: "b", bound: fairshare.BoundOfSum, value: 1.1, valueIsNumber: true},
		{name: "zero", a: "0.6", b: "0", want: kept, queue: "b", bound: fairshare.BoundOfShare, valueIsNumber: true},
		{name: "negative", a: "-0.1", b: "0.5", want: kept, queue: "a", bound: fairshare.BoundOfShare, value: -0.1, valueIsNumber: true},
		{name: "above 1", new: "1.5", want: kept, queue: "new", bound: fairshare.BoundOfShare, value: 1.5, valueIsNumber: true},
		{name: "a text", a: `"0.5"`, want: kept, queue: "a", bound: fairshare.BoundOfShare},
		{name: "an object", b: `{}`, want: kept, queue: "b", bound: fairshare.BoundOfShare},
		{name: "beyond all numbers", b: `1e999`, want: kept, queue: "b", bound: fairshare.BoundOfShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			wanted := map[string]float64{"c": 0.7}
			for name, text := range map[string]string{"a": c.a, "b": c.b, "new": c.new} {
				if text != "" {
					wanted[name] = fairshare.ParseShare([]byte(text))
				}
			}
			got, rejections := fairshare.Resolve(queues, wanted, before)
			if !maps.Equal(got, c.want) {
				t.Errorf("shares %v are in force, want %v", got, c.want)
			}
			if c.queue == "" {
				if len(rejections) > 0 {
					t.Errorf("rejected: %+v", rejections)
				}
				return
			}
			if len(rejections) != 1 || rejections[0].Pool != "p" || rejections[0].Queue != c.queue || rejections[0].Bound != c.bound {
				t.Fatalf("rejections %+v, want one of queue %s for %q", rejections, c.queue, c.bound)
			}
			if v := rejections[0].Value; math.IsNaN(v) == c.valueIsNumber || math.Abs(v-c.value) > 1e-9 {
				t.Errorf("value %v, want %v", v, c.value)
			}
		})
	}
}

// TestResolveRepeatedQueue guards against counting the share of a queue twice that has
// several routes.
func TestResolveRepeatedQueue(t *testing.T) {
	queues := []workload.Queue{{Name: "a", Pool: "p"}, {Name: "a", Pool: "p"}}
	got, rejections := fairshare.Resolve(queues, map[string]float64{"a": 0.8}, nil)
	if len(rejections) > 0 || !slices.Equal(slices.Collect(maps.Values(got)), []float64{0.8}) {
		t.Errorf("shares %v, rejections %v, want the share once", got, rejections)
	}
}
