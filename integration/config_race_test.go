package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/fireflygate/fireflygate/check"
)

// Exit codes of fireflygate apply.
const (
	exitOK       = 0
	exitConflict = 5
)

// applyResult is the result of one run of the command.
type applyResult struct {
	author string
	code   int
	output string
}

// TestOperatorsRace applies two different changes to the same base version at two
// hosts concurrently. Exactly one must be accepted, and the output of the other
// must name the author of the accepted version and the setting that differs.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	for round := range 4 {
		results := s.raceOperators(round)
		winner, loser := results[0], results[1]
		if winner.code != exitOK {
			winner, loser = loser, winner
		}
		if winner.code != exitOK || loser.code != exitConflict {
			t.Fatalf("round %d: got %+v, want one accepted and one conflict", round, results)
		}
		s.Recorder.Add(check.Record{ConfigAccepted: &check.ConfigAccepted{Version: uint64(round + 1)}})
		if !strings.Contains(loser.output, winner.author) || !strings.Contains(loser.output, "calls.queue") {
			t.Errorf("output of the rejected apply: %s; want the other author and calls.queue", loser.output)
		}
		s.untilVersion(int64(round+1), s.Hosts)
	}
	s.Check()
}

// raceOperators runs two apply commands concurrently.
func (s *Site) raceOperators(round int) [2]applyResult {
	s.t.Helper()
	var results [2]applyResult
	var work sync.WaitGroup
	for i := range results {
		h := s.Hosts[(round+i)%len(s.Hosts)]
		dir := s.writeConfigDir(h, fmt.Sprintf("race-%d-%d", round, i), 300+10*round+i)
		work.Go(func() { results[i] = s.applyCommand(h, round, fmt.Sprintf("operator-%d", i), dir) })
	}
	work.Wait()
	return results
}

// writeConfigDir writes an operator's configuration directory: the settings of the
// host and a second file that overrides the queue length.
func (s *Site) writeConfigDir(h *Host, name string, queue int) string {
	s.t.Helper()
	dir := filepath.Join(s.dir, name)
	base, err := os.ReadFile(filepath.Join(h.configDir(), "10-site.toml"))
	s.must(err)
	s.must(os.MkdirAll(dir, 0o755))
	s.must(os.WriteFile(filepath.Join(dir, "10-site.toml"), base, 0o644))
	change := fmt.Sprintf("[calls]\nqueue = %d\n", queue)
	s.must(os.WriteFile(filepath.Join(dir, "20-change.toml"), []byte(change), 0o644))
	return dir
}

// applyCommand runs "fireflygate apply" and returns its result.
func (s *Site) applyCommand(h *Host, base int, author, dir string) applyResult {
	cmd := exec.Command(s.programs.Gate, "apply", "-to", h.OperatorsURL, "-base", fmt.Sprint(base), "-author", author, dir)
	out, _ := cmd.CombinedOutput()
	return applyResult{author: author, code: cmd.ProcessState.ExitCode(), output: string(out)}
}

// untilVersion waits until all hosts have a version or a later one in force.
func (s *Site) untilVersion(version int64, hosts []*Host) {
	s.t.Helper()
	s.WaitUntil(fmt.Sprintf("version %d in force", version), func() bool {
		for _, h := range hosts {
			status, err := h.Status()
			if err != nil || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}
