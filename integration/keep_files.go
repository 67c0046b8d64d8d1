package integration

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/fireflygate/fireflygate/check"
)

var keepDir = flag.String("keep", "", "folder for the histories and logs of sites whose test failed")

// keepFiles copies the history and the logs of the site to the folder of the flag
// -keep, if it is set and the test has failed.
func (s *Site) keepFiles() {
	if *keepDir == "" || !s.t.Failed() {
		return
	}
	name := strings.ReplaceAll(s.t.Name(), "/", "-")
	target := filepath.Join(*keepDir, fmt.Sprintf("%s-%d", name, os.Getpid()))
	s.must(os.CopyFS(target, os.DirFS(s.dir)))
	file, err := os.Create(filepath.Join(target, "history.jsonl"))
	s.must(err)
	defer file.Close()
	recorder := check.NewRecorder(file)
	for _, r := range s.History() {
		recorder.Add(r)
	}
	s.must(recorder.Err())
}
