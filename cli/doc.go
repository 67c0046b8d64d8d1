// Package cli implements the subcommands of the fireflygate program. The exit
// codes are the constants ExitOK to ExitConflict.
package cli
