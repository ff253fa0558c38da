package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"github.com/alexflint/go-arg"
	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// Exit codes of every command.
const (
	ExitDone        = 0 // the command did what was asked
	ExitFailed      = 1 // the command failed for a reason that no other exit code covers
	ExitUsage       = 2 // invalid input, or an unknown command, flag, field, version or replica
	ExitConflict    = 3 // another change was accepted after the base version, or the base is older than the history
	ExitUnreachable = 4 // no node answered, no leader or majority is reachable, or a named replica did not answer
	ExitTimeout     = 5 // the timeout passed before the version was in force or the replica was promoted
)

// Program holds the functions that commands call. If Node, Platform or Demo is nil, its command fails with *NotBuiltError; other
// nil functions are skipped.
type Program struct {
	Node          func(ctx context.Context, s *process.Settings, log logr.Logger) error
	Platform      func(ctx context.Context, stdout io.Writer) error
	CheckPlatform func(path string) error // checks a .toml settings file of the users' platform
	Demo          func(ctx context.Context, keep bool, stdout, stderr io.Writer) error
	ParseRegister func(data []byte) (*wire.Register, error)
	ParseRules    func(data []byte) (*wire.RuleSet, error)
	Faults        func(err error) []*wire.Fault // returns the faults in an error of one of the parsers

	ParseCustomers func(data []byte) (*wire.Customers, error) // its errors must not quote keys
	Checks         ConfigurationChecks
}

// ConfigurationChecks holds the functions with which the command check examines the content of files; nil functions are skipped.
type ConfigurationChecks struct {
	Validate    func(c *wire.Content) error
	Warnings    func(c *wire.Content, whole bool) []Warning // whole means that c lacks no part of the configuration
	Differences func(before, after *wire.Content) []*wire.Difference

	// Parse and Read are for configurations of the users' platform.
	Parse func(data []byte) (*wire.Content, error)
	Read  func(ctx context.Context, at netip.AddrPort) (*wire.Content, error) // the one in force; nil if there is none yet
}

// Warning names a valid entry that can never match or have an effect, or that contradicts another one.
type Warning struct {
	Key  string `json:"key"`
	Text string `json:"text"`
}

// arguments holds the subcommands; the parser sets the one that the command line names.
type arguments struct {
	Node     *nodeCommand     `arg:"subcommand:node" help:"run a node"`
	Apply    *applyCommand    `arg:"subcommand:apply" help:"propose a register, a rule set or customers"`
	Plan     *planCommand     `arg:"subcommand:plan" help:"show what apply would change"`
	History  *historyCommand  `arg:"subcommand:history" help:"list accepted changes"`
	Show     *showCommand     `arg:"subcommand:show" help:"print register and rules as files, and customers without keys"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show versions, replicas and endpoints"`
	Wait     *waitCommand     `arg:"subcommand:wait" help:"wait until a version is in force everywhere"`
	Replica  *replicaCommand  `arg:"subcommand:replica" help:"list, add, promote or remove control replicas"`
	Rollout  *rolloutCommand  `arg:"subcommand:rollout" help:"move the requests of a service to another release"`
	Revert   *revertCommand   `arg:"subcommand:revert" help:"propose the content of an earlier version"`
	Check    *checkCommand    `arg:"subcommand:check" help:"check settings, register, rules and customers files, and configurations of the users' platform"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run a process on the users' platform, with the settings file that GODWITSPINDLE_CONFIG names"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the way of one request through logs"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a small mesh in one process on loopback"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "godwitspindle distributes one agreed service-mesh configuration to every proxy and carries calls by it.\n"
}

// Epilogue returns the text at the end of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 bad input or usage, 3 conflict, 4 not reachable, 5 timed out waiting."
}

// invocation is one execution of a command.
type invocation struct {
	*Program
	ctx    context.Context
	json   bool    // --json is set, so errors are printed as JSON
	resend *resend // set when the outcome of a change is unknown
	stdout io.Writer
	stderr io.Writer
}

// NotBuiltError reports a command that is not part of this build.
type NotBuiltError struct{ Command string }

// Error says which command is not part of this build.
func (e *NotBuiltError) Error() string { return e.Command + " is not part of this build" }

// InputError reports an invalid flag or file.
type InputError struct {
	Name     string // flag or file
	Expected string
}

// Error returns the flag or file and what is expected there.
func (e *InputError) Error() string { return e.Name + ": expected " + e.Expected }

// FaultsError reports all faults of the checked files.
type FaultsError struct{ Faults []process.Fault }

// Error returns the faults, one per line.
func (e *FaultsError) Error() string { return (&process.SettingsError{Faults: e.Faults}).Error() }

// Run executes the command that args name and returns its exit code.
func (p *Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "godwitspindle", IgnoreEnv: true, Out: stdout}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitDone
	}
	if err == nil && parser.Subcommand() == nil {
		err = &InputError{Name: "command", Expected: "one of those that --help lists"}
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	iv := &invocation{Program: p, ctx: ctx, json: slices.Contains(args, "--json"), stdout: stdout, stderr: stderr}
	return iv.reportError(a.run(iv))
}

func (a *arguments) run(iv *invocation) error {
	switch {
	case a.Node != nil:
		return a.Node.run(iv)
	case a.Apply != nil:
		return a.Apply.run(iv)
	case a.Plan != nil:
		return a.Plan.run(iv)
	case a.History != nil:
		return a.History.run(iv)
	case a.Show != nil:
		return a.Show.run(iv)
	case a.Status != nil:
		return a.Status.run(iv)
	case a.Wait != nil:
		return a.Wait.run(iv)
	case a.Replica != nil:
		return a.Replica.run(iv)
	case a.Rollout != nil:
		return a.Rollout.run(iv)
	case a.Revert != nil:
		return a.Revert.run(iv)
	case a.Check != nil:
		return a.Check.run(iv)
	case a.Explain != nil:
		return a.Explain.run(iv)
	case a.Platform != nil:
		return a.Platform.run(iv)
	}
	return a.Demo.run(iv)
}

// problemExitCode returns the exit code for a problem.
func problemExitCode(p *operator.Problem) int {
	switch p.Code {
	case operator.CodeConflict, operator.CodeExpired, operator.CodeRolloutRunning:
		return ExitConflict
	case operator.CodeInvalid, operator.CodeIDReused, operator.CodeMissing, operator.CodeMalformed, operator.CodeOversize, operator.CodeNoReplica, operator.CodeNoRollout:
		return ExitUsage
	case operator.CodeTimeout:
		return ExitTimeout
	case operator.CodeUnavailable, operator.CodeSilent:
		return ExitUnreachable
	}
	return ExitFailed
}
