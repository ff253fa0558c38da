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

// timeFormat is the format of printed times, which must be in UTC.
const timeFormat = "2006-01-02 15:04:05Z"

// ConnectionFlags holds the flags for calling an operator listener.
type ConnectionFlags struct {
	At      []netip.AddrPort `arg:"--at,separate" placeholder:"ADDRESS" help:"operator listener of a node; repeat for more, tried in turn [default: 127.0.0.1:7004]"`
	Key     string           `arg:"--key" placeholder:"FILE" help:"file with the shared key"`
	Cert    string           `arg:"--cert" placeholder:"FILE" help:"certificate for mutual TLS, with --certkey and --ca"`
	Certkey string           `arg:"--certkey" placeholder:"FILE" help:"key of the certificate"`
	CA      string           `arg:"--ca" placeholder:"FILE" help:"certificate of the authority"`
	JSON    bool             `arg:"--json" help:"print JSON"`
}

// client returns a client with the addresses, key and certificate of the flags.
func (c *ConnectionFlags) client() (*operator.Client, error) {
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
	files := process.TLSFiles{Cert: c.Cert, Key: c.Certkey, CA: c.CA}
	if files == (process.TLSFiles{}) {
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

// printJSON prints a value as indented JSON.
func (iv *invocation) printJSON(value any) error {
	e := json.NewEncoder(iv.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

func (iv *invocation) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(iv.stdout, format, values...)
}

// table returns a writer that aligns columns separated by tabs; the caller must call Flush to print them.
func (iv *invocation) table() *tabwriter.Writer {
	return tabwriter.NewWriter(iv.stdout, 0, 0, 2, ' ', 0)
}

// formatDuration rounds to milliseconds below 1 s, to 0.1 s below 1 min, and else to seconds.
func formatDuration(d operator.Duration) string {
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

// formatMilliseconds returns the duration in milliseconds, the unit of convergence times.
func formatMilliseconds(d operator.Duration) string {
	if d < 0 {
		return d.String()
	}
	return fmt.Sprintf("%d ms", time.Duration(d).Milliseconds())
}
