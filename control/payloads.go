package control

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxPayloads bounds the payloads that a host keeps for the owner, some
// kilobytes each at most.
const maxPayloads = 1024

// payloads keeps the payloads of jobs whose starts a host carries, so that the
// owner sends each but once. It forgets the oldest.
type payloads struct {
	mu    sync.Mutex
	byJob map[string]string
	order []string
}

// sumOf returns the sum by which a payload is known, never 0.
func sumOf(payload string) uint64 { return max(xxhash.Sum64String(payload), 1) }

// of returns the payload of a start: the one that came with it, which is kept,
// or the one that is known by the sum. False if it isn't.
func (p *payloads) of(job, sent string, sum uint64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sum > 0 {
		text, ok := p.byJob[job]
		return text, ok && sumOf(text) == sum
	}
	if p.byJob == nil {
		p.byJob = map[string]string{}
	}
	if _, ok := p.byJob[job]; !ok {
		p.order = append(p.order, job)
		if len(p.order) > maxPayloads {
			delete(p.byJob, p.order[0])
			p.order = p.order[1:]
		}
	}
	p.byJob[job] = sent
	return sent, true
}
