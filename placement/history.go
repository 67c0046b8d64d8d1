package placement

// maxHistories bounds the jobs whose past is remembered; the oldest goes
// first.
const maxHistories = 8192

// history is what is remembered of a job between its runs.
type history struct {
	// avoid holds the hosts that it failed on.
	avoid map[string]bool
	// evictions counts how often it was evicted.
	evictions int
}

// histories keeps them by job.
type histories struct {
	byJob map[string]*history
	order []string
}

func newHistories() histories { return histories{byJob: map[string]*history{}} }

// of returns the job's history and begins one if need be.
func (h *histories) of(job string) *history {
	past, known := h.byJob[job]
	if known {
		return past
	}
	past = &history{}
	h.byJob[job] = past
	h.order = append(h.order, job)
	h.trim()
	return past
}

// trim drops the oldest histories beyond the bound and the names of those
// that were forgotten.
func (h *histories) trim() {
	for len(h.byJob) > maxHistories {
		delete(h.byJob, h.order[0])
		h.order = h.order[1:]
	}
	if len(h.order) < 2*maxHistories {
		return
	}
	kept := make([]string, 0, len(h.byJob))
	for _, job := range h.order {
		if _, known := h.byJob[job]; known {
			kept = append(kept, job)
		}
	}
	h.order = kept
}

// forget drops the history of a job that is over.
func (h *histories) forget(job string) { delete(h.byJob, job) }

// avoid returns the hosts that the job failed on.
func (h *histories) avoid(job string) map[string]bool {
	if past, known := h.byJob[job]; known {
		return past.avoid
	}
	return nil
}

// evictions returns how often the job was evicted.
func (h *histories) evictions(job string) int {
	if past, known := h.byJob[job]; known {
		return past.evictions
	}
	return 0
}
