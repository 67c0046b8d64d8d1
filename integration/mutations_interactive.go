package integration

// interactiveMutations are faults in the mechanisms of calls and bookings.
var interactiveMutations = []Mutation{
	{
		Name: "half-shares",
		File: "ownership/grants.go",
		Old:  "if m.flaws.noHalfShare {", New: "if true {",
		Test: "^TestCutOffFromBoth$", ExpectedOutput: "endpoint slots are never exceeded",
	},
	{
		Name: "promises",
		File: "ownership/claim.go",
		Old:  "if m.flaws.ignorePromises {", New: "if true {",
		Test: "^TestCutOffFromStore$", ExpectedOutput: "shards in full",
	},
	{
		Name: "claim-condition",
		File: "booking/claim.go",
		Old:  "b.opt.Committer.Commit(ctx, []infra.Condition{{Key: key}}, ",
		New:  "b.opt.Committer.Commit(ctx, nil, ",
		Test: "^TestCallsAndBookings$", ExpectedOutput: "a booking runs at most once",
	},
	{
		Name: "drain-order",
		File: "gate/drain.go",
		Old:  "pause.For(ctx, g.local.Host.DrainDelay.D())", New: "shutDown(ctx, s.callers)\n\tpause.For(ctx, 0)",
		Test: "^TestRollingDrain$", ExpectedOutput: "requests were lost",
	},
	{
		Name: "drain-in-flight",
		File: "gate/drain.go",
		Old:  "pause.For(ctx, g.local.Host.DrainDelay.D())", New: "pause.For(ctx, g.local.Host.DrainDelay.D())\n\t_ = s.callers.Close()",
		Test: "^TestRollingDrain$", ExpectedOutput: "a planned stop cuts off no request",
	},
	{
		Name: "outcome-of-all-tries",
		File: "gateway/retry.go",
		Old:  `if r.Kind == outcome.NotRun && ran != "" {`, New: `if false {`,
		Test: "^TestEndpointLinksCut$", ExpectedOutput: "not run is true",
	},
	{
		Name: "withdrawal-of-written-frames",
		File: "peer/call.go",
		Old:  "return Result{Kind: outcome.Unknown, Err: err}\n}\n\n// decodeReply",
		New:  "return Result{Kind: outcome.NotRun, Err: err}\n}\n\n// decodeReply",
		Test: "^TestCutOffFromPeers$", ExpectedOutput: "not run is true",
	},
	{
		Name: "leaving",
		File: "gate/membership.go",
		Old:  "Leaving: m.State == infra.Leaving,", New: "Leaving: false,",
		Test: "^TestEndpointFaults$/^Leaving$", ExpectedOutput: "a leaving endpoint gets no new work",
	},
	{
		Name: "requests-in-a-closed-zone",
		File: "routing/closedzones.go",
		Old:  "return slices.Contains(p.closedZones, b.Zone)", New: "return slices.Contains(p.closedZones, \"\")",
		Test: "^TestZoneClosed$", ExpectedOutput: "began a request in longuelo",
	},
	{
		Name: "ejection",
		File: "routing/health.go",
		Old:  "if b.failures >= p.cfg.EjectAfter {", New: "if b.failures < 0 {",
		Test: "^TestEndpointFaults$/^FailsAll$", ExpectedOutput: "share answered",
	},
	{
		Name: "whole-answers",
		File: "gateway/answer.go",
		Old:  "head, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse))\n\tif err != nil {",
		New:  "head, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse))\n\tif err != nil && len(head) == 0 {",
		Test: "^TestEndpointFaults$/^CutsAnswers$", ExpectedOutput: "every caller gets the whole answer",
	},
	{
		Name: "own-answers",
		File: "peer/clientconn.go",
		Old:  "ca := c.pending[m.ID]",
		New:  "ca := c.pending[m.ID]\n\tfor _, other := range c.pending {\n\t\tca, m.ID = other, other.id\n\t}",
		Test: "^TestCutOffFromPeers$", ExpectedOutput: "every caller gets the whole answer",
	},
	{
		Name: "slot-until-longest-run",
		File: "gateway/exchangeend.go",
		Old:  "left := x.g.opt.MaxRun - time.Since(later(x.sentAt, x.begunBy))", New: "left := time.Duration(0)",
		Test: "^TestEndpointLinksCut$", ExpectedOutput: "endpoint slots are never exceeded",
	},
}
