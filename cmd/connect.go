package cmd

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// timeFormat shows times to people, in UTC.
const timeFormat = "2006-01-02 15:04:05Z"

// Connection holds the flags of commands that call an operator listener.
type Connection struct {
	At      []netip.AddrPort `arg:"--at,separate" placeholder:"ADDRESS" help:"operator listener of a node; repeat for more, tried in turn [default: 127.0.0.1:7004]"`
	Key     string           `arg:"--key" placeholder:"FILE" help:"file with the shared key"`
	Cert    string           `arg:"--cert" placeholder:"FILE" help:"certificate for mutual TLS, with --certkey and --ca"`
	Certkey string           `arg:"--certkey" placeholder:"FILE" help:"key of the certificate"`
	CA      string           `arg:"--ca" placeholder:"FILE" help:"certificate of the authority"`
	JSON    bool             `arg:"--json" help:"print JSON"`
}

// client returns a client for the flags.
func (c *Connection) client() (*operator.Client, error) {
	at := c.At
	if len(at) == 0 {
		at = []netip.AddrPort{process.Default().Listen.Operator}
	}
	opts := []operator.ClientOption{operator.WithAddresses(at...)}
	if c.Key != "" {
		data, err := os.ReadFile(c.Key)
		if err != nil {
			return nil, &InputError{Name: "--key", Expected: "a readable file, not " + c.Key}
		}
		opts = append(opts, operator.WithClientKey(strings.TrimSpace(string(data))))
	}
	files := process.Files{Cert: c.Cert, Key: c.Certkey, CA: c.CA}
	if files == (process.Files{}) {
		return operator.NewClient(opts...), nil
	}
	if !files.Enabled() {
		return nil, &InputError{Name: "--cert", Expected: "--cert, --certkey and --ca together"}
	}
	t, err := process.NewTLS(files)
	if err != nil {
		return nil, fmt.Errorf("client certificate: %w", err)
	}
	return operator.NewClient(append(opts, operator.WithDial(t.Dial))...), nil
}

// print writes one JSON value, indented.
func (s *session) print(value any) error {
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

func (s *session) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.stdout, format, values...)
}

// table returns a writer that aligns columns separated by tabs; Flush prints them.
func (s *session) table() *tabwriter.Writer { return tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0) }

// short rounds a duration for people.
func short(d operator.Duration) string {
	t := time.Duration(d)
	switch {
	case t < 0:
		return d.String()
	case t < time.Second:
		return t.Round(time.Millisecond).String()
	case t < time.Minute:
		return t.Round(100 * time.Millisecond).String()
	}
	return t.Round(time.Second).String()
}

// inMilliseconds shows a time as the convergence figures do.
func inMilliseconds(d operator.Duration) string {
	if d < 0 {
		return d.String()
	}
	return fmt.Sprintf("%d ms", time.Duration(d).Milliseconds())
}
