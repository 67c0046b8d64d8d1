package batch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/task"
)

// firstFit is a minimal planner. It places urgent jobs first, then the others in
// order of submission, each on the first host by name with enough free capacity.
type firstFit struct {
	hosts   map[string]placement.Host
	free    map[string]infra.Resources
	pending []task.Spec
	placed  map[string]placed
	avoid   map[string][]string
	// killed counts the kills recorded before the release of their runs.
	killed int
	// nextActions are returned by the next plan.
	nextActions []placement.Action
}

type placed struct {
	host string
	size infra.Resources
}

func newFirstFit() *firstFit {
	return &firstFit{
		hosts: map[string]placement.Host{}, free: map[string]infra.Resources{},
		placed: map[string]placed{}, avoid: map[string][]string{},
	}
}

func (p *firstFit) SetPolicy(placement.Options) {}
func (p *firstFit) SetHost(h placement.Host) {
	if old, ok := p.hosts[h.Name]; ok {
		p.free[h.Name] = p.free[h.Name].Sub(old.Capacity)
	}
	p.hosts[h.Name] = h
	p.free[h.Name] = p.free[h.Name].Add(h.Capacity)
}
func (p *firstFit) RemoveHost(name string) { delete(p.hosts, name); delete(p.free, name) }
func (p *firstFit) Enqueue(_ time.Time, s task.Spec) {
	p.Withdraw(s.ID)
	p.pending = append(p.pending, s)
}

func (p *firstFit) Withdraw(job string) {
	p.pending = slices.DeleteFunc(p.pending, func(s task.Spec) bool { return s.ID == job })
}

func (p *firstFit) AdoptSized(s task.Spec, host string, size infra.Resources) {
	p.placed[s.ID] = placed{host, size}
	p.free[host] = p.free[host].Sub(size)
}

func (p *firstFit) Release(_ time.Time, job string, _ bool) {
	if at, ok := p.placed[job]; ok {
		p.free[at.host] = p.free[at.host].Add(at.size)
		delete(p.placed, job)
	}
}

func (p *firstFit) SetAllotment(string, quota.Amount) {}
func (p *firstFit) Capacity() infra.Resources         { return infra.Resources{} }

func (p *firstFit) TeamUsage(string) (used, pending infra.Resources) { return used, pending }

func (p *firstFit) Forecast(time.Time) []forecast.Report { return nil }

func (p *firstFit) RecordOOMKill(job string) {
	if _, ok := p.placed[job]; ok {
		p.killed++
	}
}
func (p *firstFit) Avoid(job, host string)  { p.avoid[job] = append(p.avoid[job], host) }
func (p *firstFit) Observe(placement.Usage) {}
func (p *firstFit) Explain(string) string   { return "" }

func (p *firstFit) Plan(_ time.Time, limit int) []placement.Action {
	out := p.nextActions
	p.nextActions = nil
	slices.SortStableFunc(p.pending, func(a, b task.Spec) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		default:
			return 1
		}
	})
	names := make([]string, 0, len(p.hosts))
	for name := range p.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	var rest []task.Spec
	for _, s := range p.pending {
		if host := p.fit(s, names); len(out) < limit && host != "" {
			size := sizeOf(s)
			p.AdoptSized(s, host, size)
			out = append(out, placement.Action{Kind: placement.Start, Job: s.ID, Host: host, Resources: size})
			continue
		}
		rest = append(rest, s)
	}
	p.pending = rest
	return out
}

// sizeOf returns the size that firstFit reserves for a job.
func sizeOf(s task.Spec) infra.Resources {
	s.Resources.MemoryMB = max(s.Resources.MemoryMB, s.Floor.MemoryMB)
	return s.Resources
}

func (p *firstFit) fit(s task.Spec, names []string) string {
	for _, name := range names {
		ok := p.hosts[name].Unschedulable == "" && sizeOf(s).Fits(p.free[name])
		if ok && !slices.Contains(p.avoid[s.ID], name) {
			return name
		}
	}
	return ""
}

func (p *firstFit) NeverFits(s task.Spec) (string, bool) {
	for _, h := range p.hosts {
		if sizeOf(s).Fits(h.Capacity) {
			return "", false
		}
	}
	return "larger than every host", true
}
