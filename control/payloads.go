package control

import "sync"

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

// of returns the payload of a start: the one that came with it, which is kept,
// or one that is known. False if it isn't.
func (p *payloads) of(job, sent string, known bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known {
		text, ok := p.byJob[job]
		return text, ok
	}
	if p.byJob == nil {
		p.byJob = map[string]string{}
	}
	if _, ok := p.byJob[job]; !ok {
		p.byJob[job] = sent
		p.order = append(p.order, job)
		if len(p.order) > maxPayloads {
			delete(p.byJob, p.order[0])
			p.order = p.order[1:]
		}
	}
	return sent, true
}
