package notice

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a stated limit that stops a node, lifts a limit or stops an endpoint for good because it is not a usable number.
func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Rate
		rule   string
	}{
		{"decimal", []string{"13.2"}, 13.2, ""},
		{"whole number", []string{"7"}, 7, ""},
		{"spaces", []string{" 7.5\t"}, 7.5, ""},
		{"zero lets a few requests find out when it ends", []string{"0"}, MinRate, ""},
		{"almost zero", []string{"0.0000001"}, MinRate, ""},
		{"huge", []string{"99999999999999999999999999"}, MaxRate, ""},
		{"repeated: the lowest counts", []string{"9", "4.5", "6"}, 4.5, ""},
		{"repeated in one line", []string{"9, 4.5"}, 4.5, ""},
		{"repeated, one malformed", []string{"x", "8"}, 8, ""},
		{"missing", nil, 0, RuleDecimal},
		{"empty", []string{""}, 0, RuleDecimal},
		{"negative", []string{"-3"}, 0, RuleNegative},
		{"negative zero", []string{"-0"}, 0, RuleNegative},
		{"sign", []string{"+3"}, 0, RuleDecimal},
		{"not a number", []string{"NaN"}, 0, RuleDecimal},
		{"infinite", []string{"Inf"}, 0, RuleDecimal},
		{"exponent", []string{"1e3"}, 0, RuleDecimal},
		{"hexadecimal", []string{"0x1p4"}, 0, RuleDecimal},
		{"underscore", []string{"1_000"}, 0, RuleDecimal},
		{"no digit before the point", []string{".5"}, 0, RuleDecimal},
		{"no digit after the point", []string{"5."}, 0, RuleDecimal},
		{"two points", []string{"1.2.3"}, 0, RuleDecimal},
		{"long", []string{strings.Repeat("1", 4096)}, 0, RuleDecimal},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseRate(c.values)
			var failure *RateError
			if c.rule == "" && err != nil || c.rule != "" && (!errors.As(err, &failure) || failure.Rule != c.rule) {
				t.Errorf("error: got %v, want one of rule %q", err, c.rule)
			}
			if got != c.want {
				t.Errorf("rate: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a limit that ends because an older answer without it arrives late, or that outlives its process or its statement.
func TestTable(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	p, next := Process{"archive/a", 5}, Process{"archive/a", 6}
	table := NewTable()
	check := func(step string, q Process, ms int, want Rate) {
		t.Helper()
		if l, _ := table.Limit(q, at(ms)); l.Rate != want {
			t.Errorf("%s: got %v, want %v", step, l.Rate, want)
		}
	}
	table.Adopt(p, Limit{Rate: 9, At: at(0), From: "n2"}, at(10))
	check("told by another node", p, 20, 9)
	table.Adopt(p, Limit{Rate: 8, At: at(-50), From: "n3"}, at(20))
	check("told later, but older", p, 20, 9)
	table.State(p, Limit{Rate: 7, At: at(100)}, at(100))
	check("stated", p, 110, 7)
	table.Adopt(p, Limit{Rate: 3, At: at(120), From: "n2"}, at(130))
	check("told after an answer was read", p, 130, 7)
	table.Withdraw(p, at(90), at(135))
	check("an answer to an earlier request states none", p, 140, 7)
	check("another process", next, 140, 0)
	table.Withdraw(p, at(101), at(145))
	check("an answer to a later request states none", p, 150, 0)
	table.State(p, Limit{Rate: 6, At: at(200)}, at(200))
	check("stated again", p, 60_000, 6)
	check("not stated for long", p, 60_300, 0)
	table.Adopt(next, Limit{Rate: 2, At: at(0), From: "n2"}, at(60_001))
	check("told too late", next, 60_001, 0)
	table.Withdraw(next, at(60_002), at(60_003))
	table.Adopt(next, Limit{Rate: 2, At: at(60_000), From: "n2"}, at(60_004))
	check("told after the first answer stated none", next, 60_004, 0)

	if got := table.Leave(p, at(300)); !got || !table.Leaving(p) || table.Leaving(next) {
		t.Errorf("leave: got new %v, leaving %v, next process %v, want true, true, false", got, table.Leaving(p), table.Leaving(next))
	}
	if table.Leave(p, at(301)) {
		t.Error("leave stated again: got new, want known")
	}
}

// Guards against memory that grows with each process that ever stated a limit.
func TestTableBound(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxProcesses {
		table.State(Process{fmt.Sprint("s/", i), 1}, Limit{Rate: 5, At: time.Unix(int64(i), 0)}, time.Unix(int64(i), 0))
	}
	if got := len(table.processes); got > maxProcesses {
		t.Errorf("processes: got %d, want at most %d", got, maxProcesses)
	}
}
