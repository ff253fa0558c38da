package cmd

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"godwitspindle/core/wire"
)

// fakeChecks returns checks of configurations that have one service, odd if the file says so.
func fakeChecks(check func(data []byte) error) ConfigurationChecks {
	return ConfigurationChecks{
		Validate: func(*wire.Content) error { return nil },
		Warnings: func(c *wire.Content, whole bool) []Warning {
			if len(c.GetRegister().GetServices()) > 0 && whole {
				return []Warning{{Key: "service/odd", Text: "no route leads to the service"}}
			}
			return nil
		},
		Differences: func(before, _ *wire.Content) []*wire.Difference {
			if before == nil {
				return []*wire.Difference{{Key: "service/odd", After: "slots=1"}}
			}
			return []*wire.Difference{{Key: "customer/acme", Field: "keys", Before: "1", After: "2, 1 added"}}
		},
		Parse: func(data []byte) (*wire.Content, error) {
			c := &wire.Content{Register: &wire.Register{}}
			if bytes.Contains(data, []byte("odd")) {
				c.Register.Services = []*wire.Service{{Name: "odd"}}
			}
			return c, check(data)
		},
		Read: func(_ context.Context, at netip.AddrPort) (*wire.Content, error) {
			switch at.Port() {
			case 1:
				return nil, badFile{}
			case 2:
				return nil, nil
			}
			return &wire.Content{}, nil
		},
	}
}

// Guards against a check that hides a fault, a warning or a difference, or whose exit code differs from the documented ones.
func TestCheckCommands(t *testing.T) {
	folder := t.TempDir()
	for name, data := range map[string]string{"good.json": "{}", "bad.json": `{"bad":1}`, "odd.json": `{"odd":1}`} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	at := startServer(t, "a")
	tests := []struct {
		args string
		want int
	}{
		{"check --customers bad.json", ExitUsage},
		{"check --register good.json --rules good.json --customers good.json", ExitDone},
		{"check --config good.json", ExitDone},
		{"check --config odd.json", ExitDone},
		{"check --config odd.json --json", ExitDone},
		{"check --config bad.json", ExitUsage},
		{"check --config odd.json --at 127.0.0.1:1 --at 127.0.0.1:3", ExitDone},
		{"check --config odd.json --at 127.0.0.1:2 --json", ExitDone},
		{"check --config odd.json --at 127.0.0.1:1", ExitUnreachable},
		{"check --rules good.json --at 127.0.0.1:3", ExitUsage},
		{"plan --at AT --customers good.json", ExitDone},
		{"plan --at AT --customers bad.json", ExitUsage},
	}
	var out strings.Builder
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		args := strings.NewReplacer("AT", at, "good.json", folder+"/good.json", "bad.json", folder+"/bad.json", "odd.json", folder+"/odd.json").Replace(tt.args)
		if got := newProgram().Run(t.Context(), strings.Fields(args), &stdout, &stderr); got != tt.want {
			t.Errorf("%s: got exit code %d, want %d: %s", tt.args, got, tt.want, stderr.String())
		}
		fmt.Fprintf(&out, "$ godwitspindle %s\n%s%s", tt.args, stdout.String(), stderr.String())
	}
	text := strings.NewReplacer(folder+"/", "", at, "AT").Replace(out.String())
	if *update {
		_ = os.WriteFile("testdata/check.txt", []byte(text), 0o600)
	}
	want, err := os.ReadFile("testdata/check.txt")
	if err != nil || text != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", text, want)
	}
}
