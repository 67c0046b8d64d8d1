package gate

import (
	"github.com/fireflygate/fireflygate/burn"
	"github.com/fireflygate/fireflygate/gen/operations"
)

// reportOf converts a report to its API type. If reading the other hosts' counts
// failed, it lists them as unseen.
func reportOf(r burn.Report, readErr error) *operations.BurnReport {
	out := &operations.BurnReport{
		Objective: r.Objective.Name,
		Service:   r.Objective.Service,
		Target:    r.Objective.Target,
		Alert:     string(r.Alert),
		Unseen:    r.Unseen,
	}
	if readErr != nil {
		out.Unseen = append(out.Unseen, "all other hosts: "+readErr.Error())
	}
	for _, w := range r.Windows {
		out.Windows = append(out.Windows, &operations.BurnWindow{
			WindowMs: w.Length.Milliseconds(), Good: w.Good, Total: w.Total,
			Burn: w.Burn, CoveredMs: w.Covered.Milliseconds(),
		})
	}
	for _, rule := range burn.Rules {
		out.Rules = append(out.Rules, &operations.BurnRule{
			Alert: string(rule.Alert), Burn: rule.Burn,
			LongMs: burn.Windows[rule.Long].Milliseconds(), ShortMs: burn.Windows[rule.Short].Milliseconds(),
		})
	}
	for _, p := range r.History {
		out.History = append(out.History, &operations.BurnPoint{
			StartUnixMs: p.Start.UnixMilli(), Good: p.Good, Total: p.Total,
		})
	}
	return out
}
