// Package cli holds the subcommands of the fireflygate program. Every command
// has help with an example; exit codes are those of type Exit.
package cli
