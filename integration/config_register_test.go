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

// registerInput is one operation on the configuration, seen as a register of
// versions that is changed by compare-and-swap.
type registerInput struct {
	// read is set for a listing of the versions.
	read bool
	// base is what a change was made from.
	base int64
}

// registerOutput is what the operator was told.
type registerOutput struct {
	// version is the version accepted or read; 0 if nothing was.
	version int64
	// lost, notRun and unknown tell how a change that was not accepted
	// ended.
	lost, notRun, unknown bool
}

// registerModel says what may be told: a change is accepted on top of just its
// base, and lost only if its base was overtaken.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		at, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read && out.version == at, out.notRun, out.lost && at > in.base:
			return []any{at}
		case in.read, out.lost:
			return nil
		case out.unknown && at == in.base:
			return []any{at, at + 1}
		case out.unknown:
			return []any{at}
		case at == in.base && out.version == at+1:
			return []any{at + 1}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
}

// TestConfigIsLinearizable has operators at all hosts change the configuration
// from what they last read, while the store loses answers. What they were told
// must fit one order of the changes.
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
	won, lost := countRegister(history)
	t.Logf("%d operations, %d accepted, %d lost", len(history), won, lost)
	if won < 5 || lost < 5 {
		t.Errorf("%d accepted and %d lost; the race was not met", won, lost)
	}
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		t.Errorf("no order of the changes fits: %+v", history)
	}
	s.Check()
}

// register changes or reads the configuration at a host. A read that was not
// answered is not ok.
func (s *Site) register(h *Host, read bool, base int64, queue int) (registerOutput, bool) {
	if read {
		return s.newest(h)
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
		return registerOutput{lost: true}, true
	default:
		return registerOutput{notRun: true}, true
	}
}

// newest reads the newest version that a host finds in the store.
func (s *Site) newest(h *Host) (registerOutput, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := configsclient.NewClient("http", hostOf(h.OperatorsURL), &http.Client{Transport: s.client.Transport},
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

func countRegister(history []porcupine.Operation) (won, lost int) {
	for _, op := range history {
		out := op.Output.(registerOutput)
		switch {
		case out.lost:
			lost++
		case !op.Input.(registerInput).read && out.version > 0:
			won++
		}
	}
	return won, lost
}
