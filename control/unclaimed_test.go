package control

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/internal/memtable"
)

// result runs a request in the background and returns the channel of its result.
func result(request func() reply) chan Result {
	c := make(chan Result, 1)
	go func() { c <- request().Result }()
	return c
}

// expectResult checks that a request has ended with a result.
func expectResult(t *testing.T, got chan Result, want Result) {
	t.Helper()
	select {
	case r := <-got:
		if r != want {
			t.Errorf("result is %v, want %v", r, want)
		}
	default:
		t.Errorf("no result, want %v", want)
	}
}

// TestUnclaimedRequestHasNotRun guards against requests that count as unknown although
// the loop never took them up: their callers couldn't repeat them. Such a request must
// not run later either.
func TestUnclaimedRequestHasNotRun(t *testing.T) {
	for name, end := range map[string]func(o *Owner, cancel context.CancelFunc){
		"caller gives up": func(_ *Owner, cancel context.CancelFunc) { cancel() },
		"owner ends":      func(o *Owner, _ context.CancelFunc) { o.quit(errors.New("deposed")) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTestOwner(t, memtable.New())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ran := false
				got := result(func() reply {
					return o.runOnLoop(ctx, func(answer chan reply) {
						ran = true
						answer <- reply{Result: ResultDone}
					})
				})
				synctest.Wait() // the request is queued
				end(o, cancel)
				synctest.Wait()
				expectResult(t, got, ResultNotOwner)
				runPosted(o)
				if ran {
					t.Error("a request ran after it was reported as not run")
				}
			})
		})
	}
}

// TestClaimedRequestIsUnknown guards against a request that counts as not run after the
// loop took it up: it may still take effect.
func TestClaimedRequestIsUnknown(t *testing.T) {
	for name, end := range map[string]func(o *Owner, cancel context.CancelFunc){
		"caller gives up": func(_ *Owner, cancel context.CancelFunc) { cancel() },
		"owner ends": func(o *Owner, _ context.CancelFunc) {
			o.quit(errors.New("deposed"))
			o.run()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTestOwner(t, memtable.New())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				got := result(func() reply { return o.runOnLoop(ctx, func(chan reply) {}) })
				runPosted(o)
				end(o, cancel)
				synctest.Wait()
				expectResult(t, got, ResultUnknown)
			})
		})
	}
}

// TestAnswerBeforeOwnersEnd guards against an answer that is lost because the owner ends
// at the same time: the reply of a request that ran must be the loop's.
func TestAnswerBeforeOwnersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memtable.New())
		begun, proceed := make(chan struct{}), make(chan struct{})
		got := result(func() reply {
			return o.runOnLoop(t.Context(), func(answer chan reply) {
				close(begun)
				<-proceed
				answer <- reply{Result: ResultRefused}
			})
		})
		go o.run()
		<-begun
		o.quit(errors.New("deposed"))
		synctest.Wait() // the request knows of the end
		close(proceed)
		synctest.Wait()
		expectResult(t, got, ResultRefused)
	})
}
