package integration

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/fireflygate/fireflygate/check"
)

// keepIn is where the site of a failed test is kept.
var keepIn = flag.String("keep", "", "folder for the histories and logs of sites whose test failed")

// keep copies the history and the logs of a failed test's site, if a folder
// was named.
func (s *Site) keep() {
	if *keepIn == "" || !s.t.Failed() {
		return
	}
	name := strings.ReplaceAll(s.t.Name(), "/", "-")
	to := filepath.Join(*keepIn, fmt.Sprintf("%s-%d", name, os.Getpid()))
	s.must(os.CopyFS(to, os.DirFS(s.dir)))
	file, err := os.Create(filepath.Join(to, "history.jsonl"))
	s.must(err)
	defer file.Close()
	recorder := check.NewRecorder(file)
	for _, r := range s.History() {
		recorder.Add(r)
	}
	s.must(recorder.Err())
}
