package eviction

// minEffect is the least estimated effect on the logarithm of the latency for
// which a task is throttled or evicted.
const minEffect = 0.03

// restartMS is the cost of an eviction in addition to lost work, in
// milliseconds: checkpoint, queueing and start.
const restartMS = 10_000

// chooseVictim returns the candidate that loses the least work relative to the
// reduction of the latency. Reductions beyond excess don't count.
func chooseVictim(candidates []Candidate, excess float64) (Candidate, bool) {
	var chosen Candidate
	found := false
	lowest := 0.0
	for _, c := range candidates {
		reduction := min(c.reduction(0), excess)
		if c.Protected || c.reduction(0) < minEffect || c.Effect < c.Deviation {
			continue
		}
		cost := float64(c.LostMS+restartMS) / reduction
		if !found || cost < lowest || (cost == lowest && c.Job < chosen.Job) {
			chosen, lowest, found = c, cost, true
		}
	}
	return chosen, found
}
