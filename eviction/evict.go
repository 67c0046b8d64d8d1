package eviction

// leastBlame is what a task must be estimated to add to the logarithm of the
// latency to be evicted for it: 3%.
const leastBlame = 0.03

// restartMS is what an eviction costs besides lost work, in milliseconds:
// checkpoint, queue and start.
const restartMS = 10_000

// chooseVictim returns the suspect with the least work lost per harm removed.
// Harm beyond what is over the objective counts for nothing.
func chooseVictim(suspects []Candidate, over float64) (Candidate, bool) {
	var chosen Candidate
	found := false
	least := 0.0
	for _, s := range suspects {
		removed := min(s.removed(0), over)
		if s.Protected || s.removed(0) < leastBlame || s.Effect < s.Deviation {
			continue
		}
		price := float64(s.LostMS+restartMS) / removed
		if !found || price < least || (price == least && s.Job < chosen.Job) {
			chosen, least, found = s, price, true
		}
	}
	return chosen, found
}
