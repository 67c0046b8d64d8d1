// Command fireflygate is the scheduler's one program: an entry host
// (`serve`), the operators' commands, a demonstration and a load generator.
package main

import (
	"os"

	"github.com/fireflygate/fireflygate/cli"
)

func main() {
	os.Exit(cli.Main(os.Args))
}
