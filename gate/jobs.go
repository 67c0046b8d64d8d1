package gate

import (
	"context"
	"strings"

	"github.com/fireflygate/fireflygate/batch"
	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

// jobsService implements jobs.Service.
type jobsService struct {
	manager *batch.Manager
	watcher *configstore.Watcher
}

// Submit implements jobs.Service.
func (s *jobsService) Submit(ctx context.Context, p *jobs.JobSpec) (*jobs.JobStatus, error) {
	if !s.watcher.AcceptsTeam(p.Team) {
		return nil, jobProblem("bad_request", "no team of that name in the settings", "team", outcome.NotRun)
	}
	spec := specOf(p)
	if spec.Event != "" && !s.watcher.HasEvent(spec.Event) {
		return nil, jobProblem("bad_request", "no event of that name in the settings", "event", outcome.NotRun)
	}
	return s.respond(s.manager.Submit(ctx, spec))
}

// Cancel implements jobs.Service.
func (s *jobsService) Cancel(ctx context.Context, p *jobs.CancelPayload) (*jobs.JobStatus, error) {
	return s.respond(s.manager.Cancel(ctx, p.ID))
}

// Show implements jobs.Service.
func (s *jobsService) Show(ctx context.Context, p *jobs.ShowPayload) (*jobs.JobStatus, error) {
	return s.respond(s.manager.Show(ctx, p.ID))
}

func (s *jobsService) respond(st batch.Status, kind outcome.Kind, reason string) (*jobs.JobStatus, error) {
	if kind == outcome.Answered {
		return jobStatusOf(st), nil
	}
	return nil, jobProblem(problemName(reason), reason, "", kind)
}

// problemName returns the problem name for a reason given by package batch.
func problemName(reason string) string {
	code, _, _ := strings.Cut(reason, ":")
	switch code {
	case batch.ReasonInvalidSpec, batch.ReasonNeverFits:
		return "bad_request"
	case batch.ReasonNotFound:
		return "not_found"
	case batch.ReasonKeyConflict, batch.ReasonAlreadyFinished:
		return "conflict"
	default:
		return "unavailable"
	}
}

func jobProblem(name, title, field string, kind outcome.Kind) error {
	if kind == outcome.Unknown {
		name = "unknown_outcome"
	}
	p := &jobs.Problem{Name: name, Title: title, Outcome: kind.String()}
	if field != "" {
		p.Field = &field
	}
	return p
}

func specOf(p *jobs.JobSpec) task.Spec {
	spec := task.Spec{
		Key:   p.Key,
		Team:  p.Team,
		Class: p.Class,
		QoS:   task.QoS(p.Qos),
		Zones: p.Zones,
		Resources: infra.Resources{
			MilliCPU: p.Resources.MilliCPU,
			MemoryMB: p.Resources.MemoryMb,
		},
	}
	if p.Resources.Accelerators != nil {
		spec.Resources.Accelerators = *p.Resources.Accelerators
	}
	if p.Urgent != nil {
		spec.Urgent = *p.Urgent
	}
	if p.RunMs != nil {
		spec.RunMS = *p.RunMs
	}
	if p.DueUnixMs != nil {
		spec.DueUnixMS = *p.DueUnixMs
	}
	if p.Event != nil {
		spec.Event = *p.Event
	}
	return spec
}

func jobStatusOf(s batch.Status) *jobs.JobStatus {
	reason := s.Explanation
	if reason == "" {
		reason = s.Record.Reason
	}
	return &jobs.JobStatus{
		ID:     s.ID,
		Key:    s.Record.Spec.Key,
		Team:   s.Record.Spec.Team,
		Class:  s.Record.Spec.Class,
		State:  s.State.String(),
		Epoch:  int64(s.Record.Epoch),
		Worker: s.Record.Worker,
		Reason: reason,
	}
}
