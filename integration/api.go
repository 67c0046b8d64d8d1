package integration

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gen/configs"
	configsclient "github.com/fireflygate/fireflygate/gen/http/configs/client"
	jobsclient "github.com/fireflygate/fireflygate/gen/http/jobs/client"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/settings"
)

// requestTimeout limits one request about a job or a configuration.
const requestTimeout = 3 * time.Second

// jobs returns a client for the job API of a host.
func (s *Site) jobs(h *Host) *jobsclient.Client {
	return jobsclient.NewClient("http", hostPort(h.CallersURL), s.client, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// Submit submits a job to a host without retries. The error may be a *jobs.Problem.
func (s *Site) Submit(h *Host, spec *jobs.JobSpec) (*jobs.JobStatus, error) {
	return job(s.jobs(h).Submit(), spec)
}

// Cancel cancels a job at a host.
func (s *Site) Cancel(h *Host, id string) (*jobs.JobStatus, error) {
	return job(s.jobs(h).Cancel(), &jobs.CancelPayload{ID: id})
}

// Job returns the status of a job from a host.
func (s *Site) Job(h *Host, id string) (*jobs.JobStatus, error) {
	return job(s.jobs(h).Show(), &jobs.ShowPayload{ID: id})
}

// job calls an API method that returns the status of a job.
func job(call func(context.Context, any) (any, error), payload any) (*jobs.JobStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	res, err := call(ctx, payload)
	if err != nil {
		return nil, err
	}
	return res.(*jobs.JobStatus), nil
}

// Apply applies a configuration at a host: the settings of the host with a change,
// based on version base. It records the accepted version.
func (s *Site) Apply(h *Host, base int64, change func(*settings.Settings)) (*configs.ConfigVersion, error) {
	next := h.settings
	change(&next)
	content, err := settings.MarshalPolicy(next)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := configsclient.NewClient("http", hostPort(h.OperatorsURL), &http.Client{Transport: s.client.Transport},
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := c.Apply()(ctx, &configs.ApplyPayload{Base: base, Author: "integration", Content: content})
	if err != nil {
		return nil, err
	}
	v, ok := res.(*configs.ConfigVersion)
	if !ok {
		return nil, errors.Newf("apply configuration: unexpected result of type %T", res)
	}
	s.Recorder.Add(check.Record{ConfigAccepted: &check.ConfigAccepted{Version: uint64(v.Version)}})
	return v, nil
}
