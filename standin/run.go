package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fireflygate/fireflygate/infra"
)

// run is one run on a worker.
type run struct {
	id      infra.RunID
	class   string
	state   infra.RunState
	reason  string
	reserve infra.Resources
	// use is what it really uses at full speed.
	use infra.Resources
	// workMS is the real work, in milliseconds at full speed; 0 if endless.
	workMS float64
	doneMS float64
	// percent is the share of its processors that it may use.
	percent    int
	checkpoint string
	// seq is the sequence number of its last change that is reported.
	seq uint64
	// sampled is what the next report says of its use; it lags.
	sampled, reported usageSample
}

// usageSample is what a run used at one time.
type usageSample struct {
	doneMS float64
	use    infra.Resources
}

func (r *run) running() bool { return r.state == infra.RunRunning }

// report returns what an exchange says of the run. A final state tells the
// true progress; a running one lags.
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
		Resources:  r.reserve,
		Class:      r.class,
	}
}

// checkpointName names the progress of a run; the name holds the progress
// itself, so that any worker can resume from it.
func checkpointName(id infra.RunID, doneMS float64) string {
	return fmt.Sprintf("%s@%d@%d", id.Job, id.Epoch, int64(doneMS))
}

// checkpointProgress reads the progress that a checkpoint's name holds.
func checkpointProgress(name string) float64 {
	at := strings.LastIndexByte(name, '@')
	ms, err := strconv.ParseInt(name[at+1:], 10, 64)
	if err != nil {
		return 0
	}
	return float64(ms)
}
