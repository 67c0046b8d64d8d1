package gate

import (
	"github.com/fireflygate/fireflygate/burn"
	"github.com/fireflygate/fireflygate/gen/operations"
)

// reportOf returns a report as the API shows it. After a failed read it is of
// this host alone, and says so.
func reportOf(r burn.Report, failed error) *operations.BurnReport {
	out := &operations.BurnReport{
		Objective: r.Objective.Name,
		Service:   r.Objective.Service,
		Target:    r.Objective.Target,
		Alert:     string(r.Alert),
		Unseen:    r.Unseen,
	}
	if failed != nil {
		out.Unseen = append(out.Unseen, "all other hosts: "+failed.Error())
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
