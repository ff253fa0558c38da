package cmd

import "io"

// Exit codes of every command.
const (
	ExitDone        = 0 // the command did what was asked
	ExitFailed      = 1 // the command failed for a reason that no other code names
	ExitUsage       = 2 // bad input, unknown command, flag or field
	ExitConflict    = 3 // another change was accepted first
	ExitUnreachable = 4 // no node answered
	ExitTimeout     = 5 // the wait ended before the change was in force
)

// Run executes the command named by args and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	_, _ = args, stdout
	_, _ = io.WriteString(stderr, "no command is available\n")
	return ExitUsage
}
