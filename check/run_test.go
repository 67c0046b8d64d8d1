package check_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

var cpu = infra.Resources{MilliCPU: 1}

func began(call, key string) check.Record {
	return check.Record{RequestBegan: &check.RequestBegan{Endpoint: "e", Call: call, BookingKey: key, Slots: 1}}
}

func ended() check.Record { return check.Record{RequestEnded: &check.RequestEnded{Endpoint: "e"}} }

func sent(call string) check.Record {
	return check.Record{Sent: &check.Sent{Call: call, Host: "h", Digest: "d"}}
}

func answered(a check.Answered) check.Record { return check.Record{Answered: &a} }

func start(worker string, epoch uint64, checkpoint string) check.Record {
	return check.Record{RunBegan: &check.RunBegan{
		Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, Resources: cpu, Capacity: cpu, Checkpoint: checkpoint,
	}}
}

func stop(worker string, epoch uint64, state infra.RunState) check.Record {
	return check.Record{RunEnded: &check.RunEnded{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, State: state}}
}

func force(host string, version uint64) check.Record {
	return check.Record{ConfigInForce: &check.ConfigInForce{Host: host, Version: version}}
}

func TestCheckers(t *testing.T) {
	whole := check.Answered{Call: "c", Outcome: "answered", EchoDigest: "d", EchoCall: "c", Length: 2, WantLength: 2}
	crossed, other, cut := whole, whole, whole
	crossed.EchoCall, other.EchoDigest, cut.Length = "x", "x", 1
	unknown := answered(check.Answered{Call: "c", Outcome: "unknown"})
	notRun := answered(check.Answered{Call: "c", Outcome: "not_run"})
	leaving := check.Record{LeavingBegan: &check.LeavingBegan{Member: "e"}}
	drain := check.Record{DrainBegan: &check.DrainBegan{Host: "h"}}
	accepted := check.Record{ConfigAccepted: &check.ConfigAccepted{Version: 2}}
	second := start("w", 1, "")
	second.RunBegan.Run.Job = "k"
	type records = []check.Record
	// Records are one second apart.
	for _, tc := range []struct {
		name      string
		promise   check.Promise
		good, bad records
	}{
		{"slots", check.SlotLimit, records{began("a", ""), ended(), began("b", "")}, records{began("a", ""), began("b", "")}},
		{"capacity", check.CapacityLimit, records{start("w", 1, ""), stop("w", 1, "stopped"), second}, records{start("w", 1, ""), second}},
		{"one place", check.SinglePlacement, records{start("w", 1, ""), stop("w", 1, "stopped"), start("v", 2, "")}, records{start("w", 1, ""), start("v", 2, "")}},
		{"epochs", check.ResumedOnce, records{start("w", 1, ""), stop("w", 1, "stopped"), start("w", 2, "")}, records{start("w", 2, ""), stop("w", 2, "stopped"), start("w", 2, "")}},
		{"checkpoint", check.ResumedOnce, records{start("w", 2, "c"), stop("w", 2, "stopped"), start("w", 3, "d")}, records{start("w", 2, "c"), stop("w", 2, "stopped"), start("w", 3, "c")}},
		{"checkpoint of a run that failed", check.ResumedOnce, records{start("w", 2, "c"), stop("w", 2, "failed"), start("v", 3, "c")}, records{start("w", 2, "c"), start("v", 3, "c"), stop("w", 2, "failed")}},
		{"checkpoint of a run that was done", check.ResumedOnce, records{start("w", 2, "c"), stop("w", 2, "expired"), start("v", 3, "c"), stop("v", 3, "done")}, records{start("w", 2, "c"), stop("w", 2, "done"), start("v", 3, "c")}},
		{"done", check.ResumedOnce, records{start("w", 1, ""), stop("w", 1, "done")}, records{start("w", 1, ""), stop("w", 1, "done"), start("w", 2, "")}},
		{"crossed", check.CompleteAnswer, records{sent("c"), answered(whole)}, records{sent("c"), answered(crossed)}},
		{"other body", check.CompleteAnswer, records{sent("c"), unknown}, records{sent("c"), answered(other)}},
		{"cut", check.CompleteAnswer, records{sent("c"), notRun}, records{sent("c"), answered(cut)}},
		{"not run", check.NotRunAccurate, records{sent("c"), unknown, began("c", "")}, records{sent("c"), notRun, began("c", "")}},
		{"booking", check.AtMostOnce, records{began("a", "k"), ended(), began("b", "l")}, records{began("a", "k"), ended(), began("b", "k")}},
		{"leaving", check.NoWorkAfterLeaving, records{leaving, began("a", "")}, records{leaving, sent("x"), sent("y"), sent("z"), began("a", "")}},
		{"drain", check.GracefulStop, records{sent("c"), drain, answered(whole)}, records{sent("c"), drain, unknown}},
		{"drain, no end", check.GracefulStop, records{sent("c"), drain, notRun}, records{sent("c"), drain}},
		{"reverted", check.ConfigMonotonic, records{force("h", 1), force("h", 2)}, records{force("h", 2), force("h", 1)}},
		{"in time", check.ConfigInTime, records{force("h", 1), accepted, force("h", 2), sent("a"), sent("b"), sent("c"), sent("d")}, records{force("h", 1), accepted, sent("a"), sent("b"), sent("c"), sent("d"), force("h", 2)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := check.Run(stamp(tc.good)).Violations; len(got) != 0 {
				t.Errorf("good history: %+v", got)
			}
			got := check.Run(stamp(tc.bad)).Violations
			found := false
			for _, v := range got {
				found = found || v.Promise == tc.promise
			}
			if !found {
				t.Errorf("doctored history: %+v", got)
			}
		})
	}
}

// stamp numbers records and puts them one second apart.
func stamp(records []check.Record) []check.Record {
	stamped := make([]check.Record, len(records))
	for i, r := range records {
		r.Seq = uint64(i) + 1
		r.At = time.Unix(int64(i), 0)
		stamped[i] = r
	}
	return stamped
}
