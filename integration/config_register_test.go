package integration

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/gen/configs"
	configsclient "github.com/fireflygate/fireflygate/gen/http/configs/client"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// registerInput is one operation on the configuration, modeled as a register that
// holds a version and is changed by compare-and-swap.
type registerInput struct {
	// read is set if the operation reads the newest version.
	read bool
	// base is the version that a change is based on.
	base int64
}

// registerOutput is the response to an operation.
type registerOutput struct {
	// version is the version accepted or read; 0 if there is none.
	version int64
	// conflict, notRun and unknown are the outcomes of a change that was not
	// accepted.
	conflict, notRun, unknown bool
}

// registerModel allows a change to be accepted only if its base is the current
// version, and to be in conflict only if the current version is later than its base.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read && out.version == current, out.notRun, out.conflict && current > in.base:
			return []any{current}
		case in.read, out.conflict:
			return nil
		case out.unknown && current == in.base:
			return []any{current, current + 1}
		case out.unknown:
			return []any{current}
		case current == in.base && out.version == current+1:
			return []any{current + 1}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
}

// TestConfigIsLinearizable changes and reads the configuration concurrently at
// random hosts while the store loses responses. The recorded history must be
// linearizable.
func TestConfigIsLinearizable(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	s.TableFaults(standin.Faults{LoseShare: 0.15, Seed: 5})
	var mu sync.Mutex
	var history []porcupine.Operation
	var work sync.WaitGroup
	start := time.Now()
	for i := range 4 {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(29, uint64(i)))
			base := int64(0)
			for range 10 {
				h := s.Hosts[rng.IntN(len(s.Hosts))]
				for _, read := range []bool{false, true} {
					op := porcupine.Operation{ClientId: i, Input: registerInput{read: read, base: base}, Call: int64(time.Since(start))}
					out, ok := s.register(h, read, base, rng.IntN(1000)+1)
					op.Output, op.Return = out, int64(time.Since(start))
					if read && !ok {
						continue
					}
					base = max(base, out.version)
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			}
		})
	}
	work.Wait()
	s.TableFaults(standin.Faults{})
	accepted, conflicts := countRegister(history)
	t.Logf("%d operations, %d accepted, %d conflicts", len(history), accepted, conflicts)
	if accepted < 5 || conflicts < 5 {
		t.Errorf("%d accepted and %d conflicts, want at least 5 of each", accepted, conflicts)
	}
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		t.Errorf("the history is not linearizable: %+v", history)
	}
	s.Check()
}

// register changes or reads the configuration at a host. It returns false for a
// read that failed.
func (s *Site) register(h *Host, read bool, base int64, queue int) (registerOutput, bool) {
	if read {
		return s.newestVersion(h)
	}
	v, err := s.Apply(h, base, func(c *settings.Settings) { c.Calls.Queue = queue })
	if err == nil {
		return registerOutput{version: v.Version}, true
	}
	var p *configs.Problem
	switch {
	case !errors.As(err, &p), p.Outcome == "unknown":
		return registerOutput{unknown: true}, true
	case p.Name == "conflict":
		return registerOutput{conflict: true}, true
	default:
		return registerOutput{notRun: true}, true
	}
}

// newestVersion reads the newest version at a host. It returns false if the read
// failed.
func (s *Site) newestVersion(h *Host) (registerOutput, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := configsclient.NewClient("http", hostPort(h.OperatorsURL), &http.Client{Transport: s.client.Transport},
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := c.Versions()(ctx, nil)
	if err != nil {
		return registerOutput{}, false
	}
	list := res.([]*configs.ConfigVersion)
	if len(list) == 0 {
		return registerOutput{}, true
	}
	return registerOutput{version: list[0].Version}, true
}

func countRegister(history []porcupine.Operation) (accepted, conflicts int) {
	for _, op := range history {
		out := op.Output.(registerOutput)
		switch {
		case out.conflict:
			conflicts++
		case !op.Input.(registerInput).read && out.version > 0:
			accepted++
		}
	}
	return accepted, conflicts
}
