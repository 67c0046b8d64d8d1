package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/relay"
	"github.com/fireflygate/fireflygate/workload"
)

// summaryInterval is the interval of log lines on the state of the domain.
const summaryInterval = time.Second

// summarize logs the state of the domain once per summaryInterval, updates
// metrics, adapts the number of relays, logs the
// jobs that have ended or expired, and resets the loop's statistics.
func (o *Owner) summarize(now time.Time) {
	if now.Sub(o.summarizedAt) < summaryInterval {
		return
	}
	o.summarizedAt = now
	sum := o.state.AttributeTime(now)
	o.opts.Metrics.setState(&sum)
	traffic := o.traffic.State(now)
	used := readCPUTime()
	spent := used.since(o.cpuUsed)
	o.cpuUsed = used
	o.opts.Metrics.addCPUTime(spent)
	event.DomainState.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Any("state", sum),
		slog.Any("traffic", traffic), slog.Any("loop", o.loop), slog.Any("cpu", spent), slog.Bool("short_of_processor", o.short), slog.Int64("commit_age_ms", o.commitAge().Milliseconds()))
	o.logStandingTasks()
	o.opts.Metrics.setLoad(traffic, &o.loop)
	o.recordLoads(now)
	o.scaleRelays(now, sum.Workers)
	o.loop = loopStats{}
	for _, j := range o.state.TakeJobOutcomes() {
		event.JobEnded.Log(o.opts.Log, slog.String("job", j.Job), slog.String("queue", j.Queue),
			slog.String("state", j.State.String()), slog.String("reason", j.Reason), slog.String("reached", j.Timeliness.String()),
			slog.Int64("age_ms", j.Age.Milliseconds()), slog.Int64("objective_ms", j.Objective.Milliseconds()),
			slog.Int64("core_ms", j.CoreMS), slog.Int("tasks", j.Tasks), slog.Any("spent", j.TimeBreakdown))
	}
}

// logStandingTasks logs the long-running tasks that were found to stand, and those that run again.
func (o *Owner) logStandingTasks() {
	found := o.state.TakeStandingTasks()
	for i := range found.Standing {
		t := &found.Standing[i]
		event.TaskStands.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("job", t.Task.Job), slog.String("task", t.Task.String()),
			slog.Int64("for_ms", t.For.Milliseconds()), slog.String("check", string(t.Check)), slog.Int64("left_ms", t.Left.Milliseconds()),
			slog.Any("epochs", t.Epochs), slog.String("worker", t.Worker), slog.Uint64("run", t.Run), slog.Int("more", found.More))
	}
	for i := range found.Resumed {
		t := &found.Resumed[i]
		event.TaskRunsAgain.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("job", t.Task.Job), slog.String("task", t.Task.String()),
			slog.Int64("stood_ms", t.For.Milliseconds()), slog.String("worker", t.Worker), slog.Uint64("run", t.Run))
	}
}

// logLosses logs and counts the workers that were lost with runs or have started again, and
// the jobs given up because of such losses.
func (o *Owner) logLosses() {
	for _, l := range o.state.TakeWorkerLosses() {
		o.opts.Metrics.losses.WithLabelValues(l.Cause.String()).Inc()
		event.WorkerLost.Log(o.opts.Log, slog.String("worker", l.Worker), slog.String("cause", l.Cause.String()),
			slog.Int("runs", l.Runs), slog.Any("unreported", taskNames(l.Unreported)), slog.Bool("with_rack", l.WithRack),
			slog.Bool("reported", l.Reported), slog.Int64("unresponsive_ms", l.Unresponsive.Milliseconds()),
			slog.Int64("commit_age_ms", o.commitAge().Milliseconds()))
	}
	for _, l := range o.state.TakeNewLives() {
		o.opts.Metrics.newLives.Inc()
		event.WorkerStartedAgain.Log(o.opts.Log, slog.String("worker", l.Worker), slog.Any("before", l.Before),
			slog.Any("incarnation", l.Since), slog.Int("runs", l.Runs))
	}
	for _, j := range o.state.TakeGivenUpJobs() {
		o.opts.Metrics.givenUp.Inc()
		event.JobGivenUp.Log(o.opts.Log, slog.String("job", j.Job), slog.String("reason", j.Reason))
	}
}

// taskNames returns the names of tasks in logs.
func taskNames(tasks []workload.TaskID) []string {
	names := make([]string, 0, len(tasks))
	for _, t := range tasks {
		names = append(names, t.String())
	}
	return names
}

// scaleRelays adapts the number of relays to the load of the last interval, and
// replaces the relay table and the hosts that carry detours.
func (o *Owner) scaleRelays(now time.Time, workers int) {
	relaysPerZone := o.relayScaler.Observe(relay.Load{
		Workers: workers, Orders: int(o.relays.orders.Swap(0)), RoundTrip: o.traffic.RoundTrip(now), StartLimitReached: o.loop.cycles.startsLimited(),
	})
	o.relaysPerZone.Store(int64(relaysPerZone))
	hosts := o.candidates.RelayHosts(boottime())
	detoured := o.relays.updateDetours(hosts, o.state.HasWorker)
	if (detoured > 0) != (o.detoured > 0) {
		event.DetoursChanged.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Int("workers", detoured))
	}
	o.detoured = detoured
	o.opts.Metrics.detoured.Set(float64(detoured))
	o.relays.setTable(relay.NewTable(hosts, relaysPerZone))
}
