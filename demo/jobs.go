package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	goahttp "goa.design/goa/v3/http"

	jobsclient "github.com/fireflygate/fireflygate/gen/http/jobs/client"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// serviceTasks is the number of the service's own tasks, which share the workers
	// with batch tasks.
	serviceTasks = 16
	// eventJobs is the number of jobs due by the event's start.
	eventJobs = 24
	// batchGap is the time between two background jobs.
	batchGap = 40 * time.Millisecond
	// submitTimeout bounds one submission. resubmitAfter is the wait before it
	// is repeated with the same key.
	submitTimeout = 2 * time.Second
	resubmitAfter = 100 * time.Millisecond
)

// submitter submits jobs to the hosts in the balancer.
type submitter struct {
	balancer *balancer
	rng      *rand.Rand
	client   *http.Client
	// submitted is the number of acknowledged jobs.
	submitted int
	eventIDs  map[string]bool
}

func newSubmitter(b *balancer, seed uint64) *submitter {
	return &submitter{
		balancer: b,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		client:   &http.Client{Timeout: submitTimeout},
		eventIDs: map[string]bool{},
	}
}

// run submits the service's tasks, the event's jobs, and then background jobs
// until ctx ends.
func (s *submitter) run(ctx context.Context) {
	for i := range serviceTasks {
		s.submit(ctx, s.serviceTask(i))
	}
	for i := range eventJobs {
		if id, ok := s.submit(ctx, s.eventJob(i)); ok {
			s.eventIDs[id] = true
		}
	}
	ticker := time.NewTicker(batchGap)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.submit(ctx, s.background(i))
		}
	}
}

// submit submits a job until it is acknowledged. The idempotency key prevents
// duplicates.
func (s *submitter) submit(ctx context.Context, spec *jobs.JobSpec) (string, bool) {
	for ctx.Err() == nil {
		targets := s.balancer.targets()
		res, err := s.clientOf(targets[s.rng.IntN(len(targets))]).Submit()(ctx, spec)
		if err == nil {
			s.submitted++
			return res.(*jobs.JobStatus).ID, true
		}
		pause.For(ctx, resubmitAfter)
	}
	return "", false
}

func (s *submitter) clientOf(target string) *jobsclient.Client {
	u, err := url.Parse(target)
	if err != nil {
		panic("demo: bad target: " + err.Error())
	}
	return jobsclient.NewClient(u.Scheme, u.Host, s.client, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// serviceTask returns a latency-critical job of the service that runs until cancelled.
func (s *submitter) serviceTask(i int) *jobs.JobSpec {
	return &jobs.JobSpec{
		Key: fmt.Sprintf("agent-%d", i), Team: teams[2], Class: serviceClass, Qos: string(task.LatencyCritical),
		Resources: &jobs.ResourceList{MilliCPU: 4000, MemoryMb: 8000},
	}
}

// eventJob returns a batch job that is due by the event's start.
func (s *submitter) eventJob(i int) *jobs.JobSpec {
	event, run := eventName, int64(300+s.rng.IntN(900))
	return &jobs.JobSpec{
		Key: fmt.Sprintf("round-%d", i), Team: teams[0], Class: batchClasses[0], Qos: string(task.Batch),
		Resources: &jobs.ResourceList{MilliCPU: 8000, MemoryMb: 16000}, RunMs: &run, Event: &event,
	}
}

// background returns a batch job of a random team and class.
func (s *submitter) background(i int) *jobs.JobSpec {
	run := int64(200 + s.rng.IntN(2000))
	urgent := s.rng.IntN(20) == 0
	return &jobs.JobSpec{
		Key: fmt.Sprintf("batch-%d", i), Team: teams[s.rng.IntN(len(teams))],
		Class: batchClasses[s.rng.IntN(len(batchClasses))], Qos: string(task.Batch), Urgent: &urgent,
		Resources: &jobs.ResourceList{
			MilliCPU: int64(1000 * (1 + s.rng.IntN(16))),
			MemoryMb: int64(1000 * (1 + s.rng.IntN(32))),
		},
		RunMs: &run,
	}
}
