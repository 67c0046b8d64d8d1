package integration

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"syscall"

	"github.com/cockroachdb/errors"
)

// process is a child process, with its standard error in a file.
type process struct {
	cmd *exec.Cmd
	log string
	// ended is closed when it has ended; err is then what Wait returned.
	ended chan struct{}
	err   error
}

// startProcess starts a program. Its standard error is appended to the file
// log, its standard output goes to out.
func startProcess(log string, out io.Writer, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "process log")
	}
	defer file.Close()
	p := &process{cmd: exec.Command(program, args...), log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, file
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	go func() {
		defer close(p.ended)
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

// signal sends a signal; one that comes after the end has no effect.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// running reports whether it has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends it at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate asks it to stop, waits for its end and returns its exit code.
func (p *process) terminate() int {
	p.signal(syscall.SIGTERM)
	<-p.ended
	return p.cmd.ProcessState.ExitCode()
}

// raced reports whether the race detector found something in it.
func (p *process) raced() bool {
	data, err := os.ReadFile(p.log)
	return err == nil && bytes.Contains(data, []byte("WARNING: DATA RACE"))
}

// tail returns the last bytes of its log.
func (p *process) tail(n int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-n):])
}
