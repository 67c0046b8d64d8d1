package integration

import (
	"bufio"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hangAfter is the time after which a program that was told to end counts as hanging.
const hangAfter = time.Minute

// interruptedDemo is a demo that gets signals.
type interruptedDemo struct {
	*process
	lines chan string
}

// startDemo starts a demo that is longer than its test.
func startDemo(t *testing.T) *interruptedDemo {
	out, in := io.Pipe()
	p, err := startProcess(filepath.Join(t.TempDir(), "demo.log"), in, built.Gate, "demo", "-duration", "5m")
	if err != nil {
		t.Fatal(err)
	}
	d := &interruptedDemo{p, make(chan string, 1000)}
	go func() {
		<-p.ended
		_ = in.Close() // a pipe's Close never fails
	}()
	go func() {
		defer close(d.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			d.lines <- s.Text()
		}
	}()
	t.Cleanup(p.kill)
	return d
}

// await reads the output until a line contains the text.
func (d *interruptedDemo) await(t *testing.T, text string) {
	t.Helper()
	hangs := time.After(hangAfter)
	for {
		select {
		case line, ok := <-d.lines:
			if !ok {
				t.Fatalf("ended without the line %q", text)
			}
			if strings.Contains(line, text) {
				return
			}
		case <-hangs:
			t.Fatalf("no line %q", text)
		}
	}
}

// TestInterruptedDemoEnds guards against a demo that never ends after a signal.
func TestInterruptedDemoEnds(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			d := startDemo(t)
			d.await(t, "entry hosts ready")
			d.signal(s)
			d.await(t, "interrupted; draining")
			d.await(t, "figures up to then")
			d.await(t, "violations")
			<-d.ended
			if code := d.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("exit code %d, want 0", code)
			}
		})
	}
}

// TestSecondSignalEndsDemoAtOnce checks that a demo that drains ends with the next
// signal.
func TestSecondSignalEndsDemoAtOnce(t *testing.T) {
	t.Parallel()
	d := startDemo(t)
	d.await(t, "entry hosts ready")
	d.signal(syscall.SIGINT)
	d.await(t, "interrupted; draining")
	d.signal(syscall.SIGINT)
	<-d.ended
	if status := d.cmd.ProcessState.Sys().(syscall.WaitStatus); !status.Signaled() {
		t.Errorf("ended with exit code %d, want the signal", d.cmd.ProcessState.ExitCode())
	}
}
