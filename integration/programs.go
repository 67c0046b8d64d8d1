package integration

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// module is the module path of the project.
const module = "github.com/fireflygate/fireflygate"

// Programs holds the paths of the built programs.
type Programs struct {
	Gate    string
	StandIn string
}

// Build builds the programs into dir, with the race detector if this package was
// built with it. flags are passed to go build.
func Build(dir string, flags ...string) (Programs, error) {
	p := Programs{Gate: filepath.Join(dir, "fireflygate"), StandIn: filepath.Join(dir, "fireflygate-standin")}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return p, errors.Wrap(err, "create build directory")
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceDetector {
		args = append(args, "-race")
	}
	args = append(args, flags...)
	args = append(args, module+"/cmd/fireflygate", module+"/cmd/fireflygate-standin")
	out, err := exec.Command("go", args...).CombinedOutput()
	return p, errors.Wrapf(err, "go build: %s", out)
}
