package cmd

import (
	"encoding/json"
	"errors"
	"fmt"

	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// failure is an error in JSON, as printed to standard error.
type failure struct {
	*operator.Problem
	Resend *resend `json:"resend,omitempty"`
	Exit   int     `json:"exit"`
}

// reportError prints an error and, if that is a problem, what to do next; it returns the exit code, which is 0 for a nil error.
func (iv *invocation) reportError(err error) int {
	if err == nil {
		return ExitDone
	}
	p, isProblem := problemOf(err)
	n := errorExitCode(err)
	if isProblem {
		n = problemExitCode(p)
	}
	switch {
	case iv.json && isProblem:
		iv.printFailure(failure{Problem: p, Resend: iv.resend, Exit: n})
	case iv.json:
		iv.printFailure(failure{Problem: &operator.Problem{Title: err.Error(), Code: codeForExit(n), Faults: faultsOf(err)}, Exit: n})
	case isProblem:
		iv.printProblem(p, err)
	default:
		_, _ = fmt.Fprintln(iv.stderr, err)
	}
	return n
}

// problemOf returns the problem in err. It checks for an UnreachableError first, since that may wrap a problem
// from an attempt, which is not the answer to the command.
func problemOf(err error) (*operator.Problem, bool) {
	if u, ok := errors.AsType[*operator.UnreachableError](err); ok {
		return u.Problem(), true
	}
	return errors.AsType[*operator.Problem](err)
}

func (iv *invocation) printFailure(f failure) {
	e := json.NewEncoder(iv.stderr)
	e.SetEscapeHTML(false)
	_ = e.Encode(f)
}

func (iv *invocation) printProblem(p *operator.Problem, err error) {
	_, _ = fmt.Fprintf(iv.stderr, "%s: %v\n", p.Code, err)
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(iv.stderr, "  %s: expected %s\n", f.Field, f.Expected)
	}
	if p.Winner != nil {
		_, _ = fmt.Fprintf(iv.stderr, "  accepted %s\n", p.Winner.Time.Format(timeFormat))
	}
	if p.Next != "" {
		_, _ = fmt.Fprintf(iv.stderr, "next: %s\n", p.Next)
	}
}

// faultsOf returns the faults in files or settings that err lists.
func faultsOf(err error) []operator.Fault {
	var faults []process.Fault
	if e, ok := errors.AsType[*FaultsError](err); ok {
		faults = e.Faults
	}
	if e, ok := errors.AsType[*process.SettingsError](err); ok {
		faults = e.Faults
	}
	var list []operator.Fault
	for _, f := range faults {
		list = append(list, operator.Fault{Field: f.File + ": " + f.Field, Expected: f.Expected})
	}
	return list
}

// codeForExit returns the problem code of an error that is not a problem.
func codeForExit(exit int) string {
	if exit == ExitUsage {
		return operator.CodeMalformed
	}
	return operator.CodeInternal
}

// errorExitCode returns the exit code of an error that is not a problem.
func errorExitCode(err error) int {
	_, settings := errors.AsType[*process.SettingsError](err)
	_, faults := errors.AsType[*FaultsError](err)
	_, input := errors.AsType[*InputError](err)
	if settings || faults || input {
		return ExitUsage
	}
	return ExitFailed
}
