package control

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxPayloads bounds the payloads that a relay caches, each a few kilobytes at
// most.
const maxPayloads = 1024

// payloadCache caches the payloads of jobs whose starts a relay forwards, so
// that the owner sends each only once. It evicts the oldest.
type payloadCache struct {
	mu    sync.Mutex
	byJob map[string]string
	byAge []string
}

// payloadSum returns the checksum that identifies a payload, never 0.
func payloadSum(payload string) uint64 { return max(xxhash.Sum64String(payload), 1) }

// lookup returns the payload of a start of the job. If sum is 0, it caches and
// returns payload. Otherwise it returns the job's cached payload, or false if
// none is cached or its checksum isn't sum.
func (p *payloadCache) lookup(job, payload string, sum uint64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sum > 0 {
		text, ok := p.byJob[job]
		return text, ok && payloadSum(text) == sum
	}
	if p.byJob == nil {
		p.byJob = map[string]string{}
	}
	if _, ok := p.byJob[job]; !ok {
		p.byAge = append(p.byAge, job)
		if len(p.byAge) > maxPayloads {
			delete(p.byJob, p.byAge[0])
			p.byAge = p.byAge[1:]
		}
	}
	p.byJob[job] = payload
	return payload, true
}
