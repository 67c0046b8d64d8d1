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
	exitOK   = 0
	exitLost = 5
)

// applied is how one run of the command ended.
type applied struct {
	author string
	code   int
	output string
}

// TestOperatorsRace has two operators apply different changes of one base at
// two hosts at once, round after round. Each round has one winner; the loser
// is told who won and what differs.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	for round := range 4 {
		results := s.raceOperators(round)
		won, lost := results[0], results[1]
		if won.code != exitOK {
			won, lost = lost, won
		}
		if won.code != exitOK || lost.code != exitLost {
			t.Fatalf("round %d: %+v", round, results)
		}
		s.Recorder.Add(check.Record{ConfigAccepted: &check.ConfigAccepted{Version: uint64(round + 1)}})
		if !strings.Contains(lost.output, won.author) || !strings.Contains(lost.output, "calls.queue") {
			t.Errorf("the loser was told: %s", lost.output)
		}
		s.untilVersion(int64(round+1), s.Hosts)
	}
	s.Check()
}

// raceOperators starts two commands at once.
func (s *Site) raceOperators(round int) [2]applied {
	s.t.Helper()
	var results [2]applied
	var work sync.WaitGroup
	for i := range results {
		h := s.Hosts[(round+i)%len(s.Hosts)]
		dir := s.folderOf(h, fmt.Sprintf("race-%d-%d", round, i), 300+10*round+i)
		work.Go(func() { results[i] = s.applyCommand(h, round, fmt.Sprintf("operator-%d", i), dir) })
	}
	work.Wait()
	return results
}

// folderOf writes a folder as an operator has it: the site's settings, and a
// later file that refines them.
func (s *Site) folderOf(h *Host, name string, queue int) string {
	s.t.Helper()
	dir := filepath.Join(s.dir, name)
	base, err := os.ReadFile(filepath.Join(h.folder(), "10-site.toml"))
	s.must(err)
	s.must(os.MkdirAll(dir, 0o755))
	s.must(os.WriteFile(filepath.Join(dir, "10-site.toml"), base, 0o644))
	change := fmt.Sprintf("[calls]\nqueue = %d\n", queue)
	s.must(os.WriteFile(filepath.Join(dir, "20-change.toml"), []byte(change), 0o644))
	return dir
}

// applyCommand runs fireflygate apply as a process.
func (s *Site) applyCommand(h *Host, base int, author, dir string) applied {
	cmd := exec.Command(s.programs.Gate, "apply", "-to", h.OperatorsURL, "-base", fmt.Sprint(base), "-author", author, dir)
	out, _ := cmd.CombinedOutput()
	return applied{author: author, code: cmd.ProcessState.ExitCode(), output: string(out)}
}

// untilVersion waits until hosts have a version, or a later one, in force.
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
