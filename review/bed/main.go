// Command bed plays one case of the review: it starts the project's processes with the command of the deploy file, on loopback
// addresses and beside stand-ins of endpoints, consumers and the operator, and checks one rule on what the stand-ins saw.
//
// Usage: bed CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cases holds the cases by name.
var cases = map[string]func(w *world) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD; cases:", strings.Join(names, ", "))
		os.Exit(notPlayed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(f func(w *world) (int, error), record string) int {
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer w.close()
	code, err := f(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		return notPlayed
	}
	w.note("result: %d (%s)", code, map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}
