package integration

// batchMutations are faults in the mechanisms of jobs and configurations.
var batchMutations = []Mutation{
	{
		Name: "wait-for-task-leases",
		File: "batch/shard_exchange.go",
		Old:  "if s.faults.lapseAtOnce {", New: "if true {",
		Test: "^TestWorkerFaults$/^HangsPastItsLease$", ExpectedOutput: "never runs in two places",
	},
	{
		Name: "durable-before-sent",
		File: "batch/manager_gain.go",
		Old:  "s.faults = m.faults", New: "s.faults = faults{sendBeforeDurable: true}",
		Test: "^TestOwnerKilledAtStarts$", ExpectedOutput: "in two places",
	},
	{
		Name: "fence-of-the-shard",
		File: "batch/shard_commit.go",
		Old:  "if !s.faults.noFence {", New: "if false {",
		Test: "^TestOwnerCommitsLate$", ExpectedOutput: "timed out waiting for: all jobs done",
	},
	{
		Name: "submission-under-its-key",
		File: "batch/shard_submit.go",
		Old:  "c.conditions = append(c.conditions, infra.Condition{Key: key})", New: "",
		Test: "^TestOwnerKilledAtStarts$", ExpectedOutput: "is job",
	},
	{
		Name: "cancel-of-a-sent-start",
		File: "batch/shard_cancel.go",
		Old:  "unsent := next.State == task.Stopping && !j.sent", New: "unsent := next.State == task.Stopping",
		Test: "^TestCancelRacesStart$", ExpectedOutput: "worker capacity is never exceeded",
	},
	{
		Name: "quarantine",
		File: "batch/health.go",
		Old:  "if !probed && (len(h.failed) < limit || !h.quarantinedUntil.IsZero()) {", New: "if true {",
		Test: "^TestWorkerFailsAllStarts$", ExpectedOutput: "starts at a worker that fails all",
	},
	{
		Name: "leaving-worker",
		File: "batch/shard_workers.go",
		Old:  "case w.member.State == infra.Leaving:\n\t\treturn \"leaving\"", New: "case false:\n\t\treturn \"leaving\"",
		Test: "^TestWorkerLeaves$", ExpectedOutput: "runs began at a worker that leaves",
	},
	{
		Name: "starts-in-a-closed-zone",
		File: "batch/shard_workers.go",
		Old:  "case s.zoneClosed:\n\t\treturn \"zone closed\"", New: "case false:\n\t\treturn \"zone closed\"",
		Test: "^TestZoneClosed$", ExpectedOutput: "began a run in longuelo",
	},
	{
		Name: "resume-from-checkpoint",
		File: "batch/shard_exchange.go",
		Old:  "Checkpoint: j.rec.Checkpoint,", New: "Checkpoint: \"\",",
		Test: "^TestWorkerLeaves$", ExpectedOutput: "which was resumed 0 times",
	},
	{
		Name: "leases-without-the-store",
		File: "ownership/grants.go",
		Old:  "promised.After(until) {", New: "s.endpoint && promised.After(until) {",
		Test: "^TestRunsContinueWithoutStore$", ExpectedOutput: "cut short while the store was down",
	},
	{
		Name: "compare-and-swap-of-the-head",
		File: "configstore/store.go",
		Old:  "Conditions: []infra.Condition{{Key: headKey, Version: rowVersion}},", New: "Conditions: nil,",
		Test: "^TestConfigIsLinearizable$", ExpectedOutput: "the history is not linearizable",
	},
	{
		Name: "start-with-the-configuration",
		File: "gate/run.go",
		Old:  "if _, ok := g.watcher.Version(); !ok || !g.roster.Load().Known() {", New: "if !g.roster.Load().Known() {",
		Test: "^TestConfigSpreadsWithoutStore$", ExpectedOutput: "a configuration never reverts",
	},
	{
		Name: "spread-among-peers",
		File: "configsync/exchange/offer.go",
		Old:  "Content: packed.Bytes()}, nil", New: "Content: nil}, nil",
		Test: "^TestConfigSpreadsWithoutStore$", ExpectedOutput: "timed out waiting for: gate-0 ready",
	},
	{
		Name: "most-hosts-hold-a-configuration",
		File: "configsync/confirmation.go",
		Old:  "if version > c.newest && peers.HeldByMost(version, now) {", New: "if version > c.newest && (peers.HeldByMost(version, now) || true) {",
		Test: "^TestReplacedHostKeepsConfigOfItsOwn$", ExpectedOutput: "a configuration never reverts",
	},
}
