// Command fireflygate runs an entry host (`serve`) and provides the operators'
// commands, a demonstration and a load generator.
package main

import (
	"os"

	"github.com/fireflygate/fireflygate/cli"
)

func main() {
	os.Exit(cli.Main(os.Args))
}
