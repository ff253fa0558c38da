package cmd

import (
	"encoding/json"
	"errors"
	"fmt"

	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// failure is the JSON form of an error, on standard error.
type failure struct {
	*operator.Problem
	Resend *resend `json:"resend,omitempty"`
	Exit   int     `json:"exit"`
}

// exit prints an error with what to do next and returns its code.
func (s *session) exit(err error) int {
	if err == nil {
		return ExitDone
	}
	p, isProblem := problemOf(err)
	n := errorExit(err)
	if isProblem {
		n = problemExit(p)
	}
	switch {
	case s.json && isProblem:
		s.fail(failure{Problem: p, Resend: s.resend, Exit: n})
	case s.json:
		s.fail(failure{Problem: &operator.Problem{Title: err.Error(), Code: inputCode(n), Faults: faultsOf(err)}, Exit: n})
	case isProblem:
		s.explain(p, err)
	default:
		_, _ = fmt.Fprintln(s.stderr, err)
	}
	return n
}

// problemOf returns the problem that err stands for. An unreachable mesh wraps the problem of its last attempt, which is
// not the answer to the command.
func problemOf(err error) (*operator.Problem, bool) {
	if u, ok := errors.AsType[*operator.UnreachableError](err); ok {
		return u.Problem(), true
	}
	return errors.AsType[*operator.Problem](err)
}

func (s *session) fail(f failure) {
	e := json.NewEncoder(s.stderr)
	e.SetEscapeHTML(false)
	_ = e.Encode(f)
}

func (s *session) explain(p *operator.Problem, err error) {
	_, _ = fmt.Fprintf(s.stderr, "%s: %v\n", p.Code, err)
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(s.stderr, "  %s: expected %s\n", f.Field, f.Expected)
	}
	if p.Winner != nil {
		_, _ = fmt.Fprintf(s.stderr, "  accepted %s\n", p.Winner.Time.Format(timeFormat))
	}
	if p.Next != "" {
		_, _ = fmt.Fprintf(s.stderr, "next: %s\n", p.Next)
	}
}

// faultsOf lists the faults of files.
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

// inputCode is the code of an error that no node answered with.
func inputCode(exit int) string {
	if exit == ExitUsage {
		return operator.CodeMalformed
	}
	return operator.CodeInternal
}

// errorExit returns the exit code for an error that is not a problem.
func errorExit(err error) int {
	_, settings := errors.AsType[*process.SettingsError](err)
	_, faults := errors.AsType[*FaultsError](err)
	_, input := errors.AsType[*InputError](err)
	if settings || faults || input {
		return ExitUsage
	}
	return ExitFailed
}
