package placement

// maxHistories bounds the jobs with a history; beyond it the oldest is
// dropped.
const maxHistories = 8192

// history is kept for a job between its runs.
type history struct {
	// avoid holds the hosts on which the job failed.
	avoid     map[string]bool
	evictions int
}

// histories holds the histories by job.
type histories struct {
	byJob map[string]*history
	order []string
}

func newHistories() histories { return histories{byJob: map[string]*history{}} }

// of returns the job's history, creating it if needed.
func (h *histories) of(job string) *history {
	entry, known := h.byJob[job]
	if known {
		return entry
	}
	entry = &history{}
	h.byJob[job] = entry
	h.order = append(h.order, job)
	h.trim()
	return entry
}

// trim drops the oldest histories beyond the bound and names in order that
// have no history.
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

// forget drops the history of a finished job.
func (h *histories) forget(job string) { delete(h.byJob, job) }

// avoid returns the hosts on which the job failed.
func (h *histories) avoid(job string) map[string]bool {
	if entry, known := h.byJob[job]; known {
		return entry.avoid
	}
	return nil
}

// evictions returns how often the job was evicted.
func (h *histories) evictions(job string) int {
	if entry, known := h.byJob[job]; known {
		return entry.evictions
	}
	return 0
}
