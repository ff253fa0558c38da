package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// longest is the time after which a case is given up as not run; the processes that it started end with it.
const longest = 115 * time.Second

// errBroken is wrapped by what broke the rule.
var errBroken = errors.New("the rule was broken")

// play plays one case; trouble says whether with its disruption. It fails with errBroken if the rule was broken, and with another
// error if the case could not run.
type play func(r *record, program string, trouble bool) error

var plays = map[string]play{
	"pipeline": playPipeline,
	"body":     playBody,
	"seed":     playSeed,
	"encoded":  playEncoded,
	"service":  playService,
	"smuggle":  playSmuggle,  // not one of the five cases
	"trailing": playTrailing, // not one of the five cases
}

func main() {
	runtime.LockOSThread() // the processes of a mesh end when the thread that started them ends
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(longest, func() {
		r.add("the case could not run: it took longer than %s", longest)
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with disruption: %v", os.Args[1], trouble)
	os.Exit(exitCode(r, plays[os.Args[1]](r, os.Args[2], trouble)))
}

// verdict returns the result of a case from what broke the rule and from the number of runs, without which there is nothing to judge.
func verdict(broken []string, runs int) error {
	switch {
	case len(broken) > 0:
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	case runs == 0:
		return errors.New("no request was run")
	}
	return nil
}

// exitCode records and prints the result of a case.
func exitCode(r *record, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case errors.Is(err, errBroken):
		code, text = exitBroken, err.Error()
	case err != nil:
		code, text = exitNotRun, "the case could not run: "+err.Error()
	}
	r.add("%s", text)
	fmt.Println(text)
	return code
}
