package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// Times of the script's steps as fractions of the run's duration.
const (
	configAt = 0.2
	leaveAt  = 0.35
	burstAt  = 0.5
	drainAt  = 0.65
)

// readyTimeout bounds the wait until all shards have an owner.
const readyTimeout = 20 * time.Second

// finishTimeout bounds the wait for submitted jobs after the callers have stopped.
const finishTimeout = 10 * time.Second

// site is a running demo.
type site struct {
	options  Options
	recorder *check.Recorder
	platform *standin.Platform
	hosts    []*host
	balancer *balancer
	watchers sync.WaitGroup
	// eventStart is when the event starts.
	eventStart time.Time
	// policy is the policy that the hosts start with.
	policy settings.Settings
}

// Run runs the demo and checks its records. Broken promises are part of the
// result; an error means that the demo could not run to its end. If ctx ends, Run
// stops the callers, drains the hosts and returns what there is until then.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &site{options: o, recorder: check.NewRecorder(nil), balancer: &balancer{}}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	jobs := newSubmitter(s.balancer, o.Seed)
	jobsCtx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	var work sync.WaitGroup
	work.Go(func() { jobs.run(jobsCtx) })
	var scriptErr error
	work.Go(func() { scriptErr = s.script(ctx) })
	summary := callers(ctx, o, s.balancer, s.hostNames(), s.recorder, fraction(o.Duration, burstAt))
	stopJobs()
	work.Wait()
	interrupted := ctx.Err() != nil
	if interrupted {
		scriptErr = nil // it ends with ctx
	}
	if err := errors.CombineErrors(scriptErr, s.finish(ctx, jobs)); err != nil {
		return Result{}, err
	}
	r := s.result(summary, jobs)
	r.Interrupted = interrupted
	return r, nil
}

// start starts the stand-ins and the entry hosts, and waits until all are
// ready and the shards have owners.
func (s *site) start(ctx context.Context) error {
	p, err := standin.Start(standinConfig(s.options.Seed, s.recorder))
	if err != nil {
		return err
	}
	s.platform = p
	s.progressf("stand-ins: %d endpoints of %s, %d workers, table, objects, members", len(p.Endpoints), service, len(p.Workers))
	s.eventStart = time.Now().Add(2*time.Second + fraction(s.options.Duration, burstAt))
	for i := range hostCount {
		s.policy = hostSettings(fmt.Sprintf("gate-%d", i+1), zones[i%len(zones)], s.eventStart)
		h, err := newHost(s.policy, p, s.options.Log)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.start(context.WithoutCancel(ctx))
		s.balancer.hosts = append(s.balancer.hosts, h)
		s.watchers.Go(func() { watchConfig(context.WithoutCancel(ctx), h, s.recorder) })
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	s.progressf("%d entry hosts ready; event %s starts in %.1f s", len(s.hosts), eventName, time.Until(s.eventStart).Seconds())
	return nil
}

// waitReady waits until every shard has an owner that may use it in full.
func (s *site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		held := 0
		for _, h := range s.hosts {
			held += h.gate.FullyOwnedShards()
		}
		if shards := s.hosts[0].gate.ShardCount(); shards > 0 && held >= shards {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting until all shards have an owner")
		case <-ticker.C:
		}
	}
}

// script applies a configuration, marks an endpoint as leaving and drains an
// entry host, each at its time.
func (s *site) script(ctx context.Context) error {
	start := time.Now()
	if !waitUntil(ctx, start.Add(fraction(s.options.Duration, configAt))) {
		return ctx.Err()
	}
	if err := s.applyConfig(ctx); err != nil {
		return err
	}
	if !waitUntil(ctx, start.Add(fraction(s.options.Duration, leaveAt))) {
		return ctx.Err()
	}
	leaving := s.platform.Endpoints[0].Name()
	s.platform.Members.SetState(leaving, infra.Leaving)
	s.progressf("endpoint %s is leaving", leaving)
	if !waitUntil(ctx, start.Add(fraction(s.options.Duration, drainAt))) {
		return ctx.Err()
	}
	h := s.hosts[len(s.hosts)-1]
	s.progressf("draining entry host %s", h.name)
	s.balancer.remove(h)
	began := time.Now()
	if err := h.drain(s.recorder); err != nil {
		return err
	}
	s.progressf("%s drained in %.1f s", h.name, time.Since(began).Seconds())
	return nil
}

// applyConfig applies a changed configuration, as an operator does.
func (s *site) applyConfig(ctx context.Context) error {
	next := s.policy
	next.Calls.Queue *= 2
	content, err := settings.MarshalPolicy(next)
	if err != nil {
		return err
	}
	a := s.platform.Addresses()
	client := &http.Client{Timeout: submitTimeout}
	store := &configstore.Store{
		Table: httpclient.NewTable(a.Table, client), Objects: httpclient.NewObjects(a.Objects, client), Now: time.Now,
	}
	r := store.Apply(ctx, configstore.Change{Base: 0, Author: "demo", Content: content})
	if r.Status != configstore.Accepted {
		return errors.Newf("apply configuration: not accepted: %v", r.Err)
	}
	s.recorder.Add(check.Record{ConfigAccepted: &check.ConfigAccepted{Version: r.Head.Version}})
	s.progressf("configuration %d accepted: %s", r.Head.Version, strings.Join(r.ChangedKeys[:min(3, len(r.ChangedKeys))], " "))
	return nil
}

// finish waits up to finishTimeout for the acknowledged jobs, unless ctx ends, and
// drains the remaining hosts.
func (s *site) finish(ctx context.Context, jobs *submitter) error {
	if ctx.Err() != nil {
		s.progressf("interrupted; draining the entry hosts")
	} else {
		s.progressf("callers done; waiting for jobs")
	}
	deadline := time.Now().Add(finishTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if len(countRuns(s.recorder.Records()).done) >= jobs.submitted-serviceTasks {
			break
		}
		waitUntil(ctx, time.Now().Add(watchInterval))
	}
	var err error
	for _, h := range s.hosts {
		s.balancer.remove(h)
		err = errors.CombineErrors(err, h.drain(s.recorder))
	}
	s.watchers.Wait()
	return err
}

func (s *site) result(summary load.Summary, jobs *submitter) Result {
	records := s.recorder.Records()
	t := countRuns(records)
	r := CheckHistory(records)
	r.Answered, r.NotRun, r.Unknown, r.Reasons = summary.Answered, summary.NotRun, summary.Unknown, summary.Reasons
	r.P50MS, r.P99MS = summary.P50MS, summary.P99MS
	r.TasksDone, r.Evictions, r.JobsSubmitted = len(t.done), t.evictions, jobs.submitted
	if t.met(jobs.eventIDs, s.eventStart) {
		r.EventsMet = 1
	} else {
		r.EventsMissed = 1
	}
	return r
}

// hostNames returns the hosts' names by their base URL for callers.
func (s *site) hostNames() map[string]string {
	out := map[string]string{}
	for _, h := range s.hosts {
		out[h.callers] = h.name
	}
	return out
}

// close stops the hosts that still run and the stand-ins.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.stop != nil {
			h.stop()
			<-h.ended
		} else {
			h.listeners.Close()
		}
	}
	if s.platform != nil {
		_ = s.platform.Close()
	}
}

func (s *site) progressf(format string, args ...any) {
	if s.options.Progress != nil {
		_, _ = fmt.Fprintf(s.options.Progress, format+"\n", args...)
	}
}

// fraction returns a fraction of a duration.
func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// waitUntil waits until at; it returns false if ctx ended first.
func waitUntil(ctx context.Context, at time.Time) bool {
	return pause.For(ctx, time.Until(at))
}
