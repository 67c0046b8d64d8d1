package check_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

var cpu = infra.Resources{MilliCPU: 1}

func requestBegan(call, key string) check.Record {
	return check.Record{RequestBegan: &check.RequestBegan{Endpoint: "e", Call: call, BookingKey: key, Slots: 1}}
}

func requestEnded() check.Record {
	return check.Record{RequestEnded: &check.RequestEnded{Endpoint: "e"}}
}

func sent(call string) check.Record {
	return check.Record{Sent: &check.Sent{Call: call, Host: "h", Digest: "d"}}
}

func answered(a check.Answered) check.Record { return check.Record{Answered: &a} }

func runBegan(worker string, epoch uint64, checkpoint string) check.Record {
	return check.Record{RunBegan: &check.RunBegan{
		Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, Resources: cpu, Capacity: cpu, Checkpoint: checkpoint,
	}}
}

func runEnded(worker string, epoch uint64, state infra.RunState) check.Record {
	return check.Record{RunEnded: &check.RunEnded{Worker: worker, Run: infra.RunID{Job: "j", Epoch: epoch}, State: state}}
}

func configInForce(host string, version uint64) check.Record {
	return check.Record{ConfigInForce: &check.ConfigInForce{Host: host, Version: version}}
}

func TestCheckers(t *testing.T) {
	complete := check.Answered{Call: "c", Outcome: "answered", EchoDigest: "d", EchoCall: "c", Length: 2, WantLength: 2}
	mismatched, otherBody, truncated := complete, complete, complete
	mismatched.EchoCall, otherBody.EchoDigest, truncated.Length = "x", "x", 1
	unknown := answered(check.Answered{Call: "c", Outcome: "unknown"})
	notRun := answered(check.Answered{Call: "c", Outcome: "not_run"})
	leaving := check.Record{LeavingBegan: &check.LeavingBegan{Member: "e"}}
	drain := check.Record{DrainBegan: &check.DrainBegan{Host: "h"}}
	accepted := check.Record{ConfigAccepted: &check.ConfigAccepted{Version: 2}}
	zoneClosed := check.Record{ZoneClosed: &check.ZoneClosed{Zone: "z"}}
	zoneOpened := check.Record{ZoneOpened: &check.ZoneOpened{Zone: "z"}}
	inZone, inOtherZone := runBegan("w", 1, ""), runBegan("w", 1, "")
	inZone.RunBegan.Zone, inOtherZone.RunBegan.Zone = "z", "y"
	requestInZone := requestBegan("a", "")
	requestInZone.RequestBegan.Zone = "z"
	inNextLife := requestBegan("b", "")
	inNextLife.RequestBegan.Life = 1
	otherJob := runBegan("w", 1, "")
	otherJob.RunBegan.Run.Job = "k"
	type records = []check.Record
	// Consecutive records are one second apart.
	for _, tc := range []struct {
		name      string
		promise   check.Promise
		good, bad records
	}{
		{"slots", check.SlotLimit, records{requestBegan("a", ""), requestEnded(), requestBegan("b", "")}, records{requestBegan("a", ""), requestBegan("b", "")}},
		{"slots of another life", check.SlotLimit, records{requestBegan("a", ""), inNextLife}, records{inNextLife, inNextLife}},
		{"capacity", check.CapacityLimit, records{runBegan("w", 1, ""), runEnded("w", 1, "stopped"), otherJob}, records{runBegan("w", 1, ""), otherJob}},
		{"one place", check.SinglePlacement, records{runBegan("w", 1, ""), runEnded("w", 1, "stopped"), runBegan("v", 2, "")}, records{runBegan("w", 1, ""), runBegan("v", 2, "")}},
		{"epochs", check.ResumedOnce, records{runBegan("w", 1, ""), runEnded("w", 1, "stopped"), runBegan("w", 2, "")}, records{runBegan("w", 2, ""), runEnded("w", 2, "stopped"), runBegan("w", 2, "")}},
		{"checkpoint", check.ResumedOnce, records{runBegan("w", 2, "c"), runEnded("w", 2, "stopped"), runBegan("w", 3, "d")}, records{runBegan("w", 2, "c"), runEnded("w", 2, "stopped"), runBegan("w", 3, "c")}},
		{"checkpoint of a run that failed", check.ResumedOnce, records{runBegan("w", 2, "c"), runEnded("w", 2, "failed"), runBegan("v", 3, "c")}, records{runBegan("w", 2, "c"), runBegan("v", 3, "c"), runEnded("w", 2, "failed")}},
		{"checkpoint of a run that was done", check.ResumedOnce, records{runBegan("w", 2, "c"), runEnded("w", 2, "expired"), runBegan("v", 3, "c"), runEnded("v", 3, "done")}, records{runBegan("w", 2, "c"), runEnded("w", 2, "done"), runBegan("v", 3, "c")}},
		{"done", check.ResumedOnce, records{runBegan("w", 1, ""), runEnded("w", 1, "done")}, records{runBegan("w", 1, ""), runEnded("w", 1, "done"), runBegan("w", 2, "")}},
		{"crossed", check.CompleteAnswer, records{sent("c"), answered(complete)}, records{sent("c"), answered(mismatched)}},
		{"other body", check.CompleteAnswer, records{sent("c"), unknown}, records{sent("c"), answered(otherBody)}},
		{"cut", check.CompleteAnswer, records{sent("c"), notRun}, records{sent("c"), answered(truncated)}},
		{"not run", check.NotRunAccurate, records{sent("c"), unknown, requestBegan("c", "")}, records{sent("c"), notRun, requestBegan("c", "")}},
		{"booking", check.AtMostOnce, records{requestBegan("a", "k"), requestEnded(), requestBegan("b", "l")}, records{requestBegan("a", "k"), requestEnded(), requestBegan("b", "k")}},
		{"leaving", check.NoWorkAfterLeaving, records{leaving, requestBegan("a", "")}, records{leaving, sent("x"), sent("y"), sent("z"), requestBegan("a", "")}},
		{"closed zone", check.NoStartInClosedZone, records{zoneClosed, inZone, sent("u"), sent("v"), sent("x"), sent("y"), runEnded("w", 1, "stopped")}, records{zoneClosed, sent("u"), sent("v"), sent("x"), sent("y"), sent("z"), inZone}},
		{"another closed zone", check.NoStartInClosedZone, records{zoneClosed, sent("u"), sent("v"), sent("x"), sent("y"), sent("z"), inOtherZone}, records{zoneClosed, sent("u"), sent("v"), sent("x"), sent("y"), sent("z"), inZone}},
		{"request in a closed zone", check.NoStartInClosedZone, records{zoneClosed, requestInZone}, records{zoneClosed, sent("u"), sent("v"), sent("x"), sent("y"), sent("z"), requestInZone}},
		{"opened zone", check.NoStartInClosedZone, records{zoneClosed, sent("u"), sent("v"), sent("x"), zoneOpened, sent("z"), inZone}, records{zoneOpened, zoneClosed, sent("u"), sent("v"), sent("x"), sent("y"), sent("z"), inZone}},
		{"drain", check.GracefulStop, records{sent("c"), drain, answered(complete)}, records{sent("c"), drain, unknown}},
		{"drain, no end", check.GracefulStop, records{sent("c"), drain, notRun}, records{sent("c"), drain}},
		{"reverted", check.ConfigMonotonic, records{configInForce("h", 1), configInForce("h", 2)}, records{configInForce("h", 2), configInForce("h", 1)}},
		{"in time", check.ConfigInTime, records{configInForce("h", 1), accepted, configInForce("h", 2), sent("a"), sent("b"), sent("c"), sent("d")}, records{configInForce("h", 1), accepted, sent("a"), sent("b"), sent("c"), sent("d"), configInForce("h", 2)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := check.Run(stamp(tc.good)).Violations; len(got) != 0 {
				t.Errorf("valid history: got violations %+v, want none", got)
			}
			got := check.Run(stamp(tc.bad)).Violations
			found := false
			for _, v := range got {
				found = found || v.Promise == tc.promise
			}
			if !found {
				t.Errorf("invalid history: got violations %+v, want one of the promise under test", got)
			}
		})
	}
}

// stamp sets sequence numbers and times, one second apart.
func stamp(records []check.Record) []check.Record {
	stamped := make([]check.Record, len(records))
	for i, r := range records {
		r.Seq = uint64(i) + 1
		r.At = time.Unix(int64(i), 0)
		stamped[i] = r
	}
	return stamped
}
