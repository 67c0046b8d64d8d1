package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fireflygate/fireflygate/infra"
)

// run is the state of one run on a worker.
type run struct {
	id       infra.RunID
	class    string
	state    infra.RunState
	reason   string
	reserved infra.Resources
	// use is the actual resource use at full speed.
	use infra.Resources
	// workMS is the actual work, in milliseconds at full speed; 0 if unbounded.
	workMS float64
	doneMS float64
	// cpuLimit is the CPU limit, in percent of its processors.
	cpuLimit   int
	checkpoint string
	// seq is the sequence number of the last change.
	seq uint64
	// sampled is the last usage sample, reported the previous one, which reports
	// contain.
	sampled, reported usageSample
}

// usageSample is the progress and resource use of a run at one time.
type usageSample struct {
	doneMS float64
	use    infra.Resources
}

func (r *run) running() bool { return r.state == infra.RunRunning }

// report returns the run's report. The progress is exact if the run has ended;
// otherwise it lags.
func (r *run) report() infra.RunReport {
	done := r.reported.doneMS
	if !r.running() {
		done = r.doneMS
	}
	return infra.RunReport{
		Run:        r.id,
		State:      r.state,
		Reason:     r.reason,
		Checkpoint: r.checkpoint,
		DoneMS:     int64(done),
		Usage:      r.reported.use,
		Resources:  r.reserved,
		Class:      r.class,
	}
}

// checkpointName returns the name of a checkpoint. It encodes the progress, so that
// any worker can resume from it.
func checkpointName(id infra.RunID, doneMS float64) string {
	return fmt.Sprintf("%s@%d@%d", id.Job, id.Epoch, int64(doneMS))
}

// checkpointProgress returns the progress encoded in a checkpoint's name, in
// milliseconds; 0 if there is none.
func checkpointProgress(name string) float64 {
	at := strings.LastIndexByte(name, '@')
	ms, err := strconv.ParseInt(name[at+1:], 10, 64)
	if err != nil {
		return 0
	}
	return float64(ms)
}
