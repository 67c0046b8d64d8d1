package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the program's version" }
func (*versionCommand) Usage() string {
	return "version\n  Prints the version and the Go toolchain of the build.\n  Example: fireflygate version\n"
}
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(Version())
	return ExitOK
}

// Version returns the program's version, VCS revision and Go toolchain.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	return info.Main.Version + revision + " " + info.GoVersion
}
