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

// explainCommand shows the way of one request through the logs of several processes.
type explainCommand struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"id of the request, or its beginning"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"logs; - for standard input"`
	JSON  bool     `arg:"--json" help:"print the lines as JSON"`
}

const (
	maxLogLine = 1 << 20
	// margin is how long before and after a request lines of processes that stopped, started or dropped lines are shown.
	margin = 2 * time.Second
)

// Messages that end a request, and those that say that lines may be missing.
var (
	endings = []string{"request answered", "request failed", "answer broke off"}
	gaps    = []string{"log lines dropped", "started", "draining", "control replica paused"}
)

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	message string
	node    string
	fields  map[string]any
}

// explanation is what the logs say about a request.
type explanation struct {
	Lines   []map[string]any `json:"lines"`
	Missing []string         `json:"missing"`
}

func (c *explainCommand) run(s *session) error {
	var about, around []logLine
	for _, name := range c.Files {
		err := c.scan(name, func(l logLine) {
			if l.names(c.ID) {
				about = append(about, l)
			} else if slices.Contains(gaps, l.message) {
				around = append(around, l)
			}
		})
		if err != nil {
			return err
		}
	}
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(about, byTime)
	slices.SortStableFunc(around, byTime)
	e := explain(about, around)
	if c.JSON {
		return s.print(e)
	}
	for _, l := range about {
		_, _ = fmt.Fprintln(s.stdout, l.String())
	}
	for _, m := range e.Missing {
		_, _ = fmt.Fprintln(s.stdout, "missing:", m)
	}
	return nil
}

// scan reads the lines of one log; what is before the first brace of a line is passed over.
func (c *explainCommand) scan(name string, take func(l logLine)) error {
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
			take(l)
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
	when, err := time.Parse(time.RFC3339Nano, text)
	l.at = when
	return l, err == nil && l.message != ""
}

// names reports whether the line is about a request or a call made for it: call ids begin with the id of the request.
func (l *logLine) names(id string) bool {
	call, _ := l.fields["call"].(string)
	return strings.HasPrefix(call, id)
}

// String formats the line for people.
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

// explain says what the lines about a request leave open.
func explain(about, around []logLine) *explanation {
	e := &explanation{Lines: []map[string]any{}, Missing: []string{}}
	for _, l := range about {
		e.Lines = append(e.Lines, l.fields)
	}
	if len(about) == 0 {
		e.Missing = append(e.Missing, "no line names this request: look at the log of the host that its caller called")
		return e
	}
	ended := slices.ContainsFunc(about, func(l logLine) bool { return slices.Contains(endings, l.message) })
	if !ended {
		e.Missing = append(e.Missing, "its end: successes are sampled, and a process that died wrote none")
	}
	first, last := about[0].at.Add(-margin), about[len(about)-1].at.Add(margin)
	for _, l := range around {
		if l.at.After(first) && l.at.Before(last) {
			e.Missing = append(e.Missing, "perhaps lines around "+l.String())
		}
	}
	return e
}
