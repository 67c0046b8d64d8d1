package integration

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"syscall"

	"github.com/cockroachdb/errors"
)

// process is a child process whose standard error goes to a file.
type process struct {
	cmd *exec.Cmd
	log string
	// ended is closed when the process has ended. err is the result of Wait, valid
	// after that.
	ended chan struct{}
	err   error
}

// startProcess starts a program. It appends the program's standard error to the
// file log and writes its standard output to out.
func startProcess(log string, out io.Writer, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open process log")
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

// signal sends a signal. It has no effect once the process has ended.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate sends SIGTERM, waits until the process has ended and returns its exit
// code.
func (p *process) terminate() int {
	p.signal(syscall.SIGTERM)
	<-p.ended
	return p.cmd.ProcessState.ExitCode()
}

// hasDataRace reports whether the log contains a report of the race detector.
func (p *process) hasDataRace() bool {
	data, err := os.ReadFile(p.log)
	return err == nil && bytes.Contains(data, []byte("WARNING: DATA RACE"))
}

// tail returns the last n bytes of the log, or the error from reading it.
func (p *process) tail(n int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-n):])
}
