package cmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// explainCommand traces one request through the logs of several processes.
type explainCommand struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"id of the request, or its beginning"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"logs; - for standard input"`
	JSON  bool     `arg:"--json" help:"print the lines as JSON"`
}

const (
	messageFailed = "request failed"
	messageRetry  = "attempt failed, trying again"
	messageCut    = "request cut at the end of the stop" // at the node that received the request
	messageEnded  = "call refused"                       // at the node of the endpoint

	maxLogLine = 1 << 20 // bytes
	// gapMargin is the time before the first and after the last line about a request within which a process that started, stopped,
	// paused or dropped lines may have lost lines about that request.
	gapMargin = 2 * time.Second
)

// Messages that end a request, and messages around which log lines may be missing.
var (
	endMessages = []string{"request answered", messageFailed, "answer broke off", messageCut}
	gapMessages = []string{"log lines dropped", "started", "draining", "control replica paused"}
)

// logLine is one parsed line of a log.
type logLine struct {
	at      time.Time
	message string
	node    string
	fields  map[string]any
}

// explanation holds the fields of the log lines about a request, a sentence on its failure, and texts that say which lines may be
// missing.
type explanation struct {
	Lines   []map[string]any `json:"lines"`
	Summary string           `json:"summary,omitempty"` // one sentence on a request that failed
	Missing []string         `json:"missing"`
}

func (c *explainCommand) run(iv *invocation) error {
	var about, gaps []logLine
	for _, name := range c.Files {
		err := c.scan(name, func(l logLine) {
			if l.isAbout(c.ID) {
				about = append(about, l)
			} else if slices.Contains(gapMessages, l.message) {
				gaps = append(gaps, l)
			}
		})
		if err != nil {
			return err
		}
	}
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(about, byTime)
	slices.SortStableFunc(gaps, byTime)
	e := explain(about, gaps)
	if c.JSON {
		return iv.printJSON(e)
	}
	for _, l := range about {
		_, _ = fmt.Fprintln(iv.stdout, l.String())
	}
	if e.Summary != "" {
		_, _ = fmt.Fprintln(iv.stdout, "summary:", e.Summary)
	}
	for _, m := range e.Missing {
		_, _ = fmt.Fprintln(iv.stdout, "missing:", m)
	}
	return nil
}

// scan calls visit with each line of a log that holds a JSON object with time and msg. Text before the first brace is ignored.
func (c *explainCommand) scan(name string, visit func(l logLine)) error {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return &InputError{Name: name, Expected: "a readable log"}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if l, ok := parseLine(lines.Bytes()); ok {
			visit(l)
		}
	}
	if err := lines.Err(); err != nil {
		return &InputError{Name: name, Expected: fmt.Sprintf("a log with lines of at most %d bytes (%v)", maxLogLine, err)}
	}
	return nil
}

func parseLine(data []byte) (logLine, bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return logLine{}, false
	}
	l := logLine{fields: map[string]any{}}
	if json.Unmarshal(data[at:], &l.fields) != nil {
		return logLine{}, false
	}
	l.message, _ = l.fields["msg"].(string)
	l.node, _ = l.fields["node"].(string)
	text, _ := l.fields["time"].(string)
	moment, err := time.Parse(time.RFC3339Nano, text)
	l.at = moment
	return l, err == nil && l.message != ""
}

// isAbout reports whether the line is about a request or a call made for it: call ids begin with the id of the request.
func (l *logLine) isAbout(id string) bool {
	call, _ := l.fields["call"].(string)
	return strings.HasPrefix(call, id)
}

// String returns the line as text, with its non-empty fields in the order of their names.
func (l *logLine) String() string {
	text := l.at.Format("15:04:05.000000") + "  " + l.node + "  " + l.message
	keys := make([]string, 0, len(l.fields))
	for k, v := range l.fields {
		if !slices.Contains([]string{"time", "msg", "node", "level", "logger"}, k) && fmt.Sprint(v) != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		text += fmt.Sprintf("  %s=%v", k, l.fields[k])
	}
	return text
}

// explain returns the lines about a request and texts that say which lines may be missing; both arguments are sorted by time.
func explain(about, gaps []logLine) *explanation {
	e := &explanation{Lines: []map[string]any{}, Summary: summarize(about), Missing: []string{}}
	for _, l := range about {
		e.Lines = append(e.Lines, l.fields)
	}
	if len(about) == 0 {
		e.Missing = append(e.Missing, "no log line has this id: add the log of the host that received the request from its caller")
		return e
	}
	ended := slices.ContainsFunc(about, func(l logLine) bool { return slices.Contains(endMessages, l.message) })
	if !ended {
		e.Missing = append(e.Missing, "the line for its end: only a sample of successes is logged, and a process that crashed logs none")
	}
	first, last := about[0].at.Add(-gapMargin), about[len(about)-1].at.Add(gapMargin)
	for _, l := range gaps {
		if l.at.After(first) && l.at.Before(last) {
			e.Missing = append(e.Missing, "possibly lines around "+l.String())
		}
	}
	return e
}

// summarize returns one sentence on why a request failed and how many attempts it made, or "" if its lines show no failure. Calls
// that backend servers made for the request have longer ids and are not counted.
func summarize(about []logLine) string {
	f, cut := lastOf(about, messageFailed), lastOf(about, messageCut)
	if cut != nil && (f == nil || len(cut.field("call")) <= len(f.field("call"))) {
		return summarizeCut(cut, about)
	}
	if f == nil {
		return ""
	}
	attempts := 1
	for _, l := range about {
		if l.message == messageRetry && l.field("call") == f.field("call") {
			attempts++
		}
	}
	outcome := "may have run"
	if f.field("outcome") == "notrun" {
		outcome = "was not run"
	}
	text := fmt.Sprintf("the request %s; attempt %d, at endpoint %s, ended with code %s: %s", outcome, attempts, f.field("endpoint"), f.field("code"), f.field("reason"))
	if f.field("endpoint") == "" {
		text = fmt.Sprintf("the request %s; no endpoint was tried, since it ended with code %s: %s", outcome, f.field("code"), f.field("reason"))
	}
	if after := f.field("after"); after != "" && after != "0s" {
		text = strings.TrimSuffix(text, ".") + "; the caller was told to return after " + after
	}
	return text + summarizeCallCut(f, about)
}

// lastOf returns the last line with the message among those with the shortest call id, or nil if there is none.
func lastOf(about []logLine, message string) *logLine {
	var last *logLine
	for i := range about {
		l := &about[i]
		if l.message == message && (last == nil || len(l.field("call")) <= len(last.field("call"))) {
			last = l
		}
	}
	return last
}

// field returns a field of the line as text, "" if the line lacks it.
func (l *logLine) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}
