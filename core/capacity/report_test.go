package capacity

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a report that is taken for another one because it is malformed, negative, huge or repeated.
func TestParseReport(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Report
		ok     bool
	}{
		{"with pace", []string{"7,2,12,250"}, Report{Running: 7, Waiting: 2, Slots: 12, Pace: 250}, true},
		{"without pace", []string{"7,2,12"}, Report{Running: 7, Waiting: 2, Slots: 12}, true},
		{"blanks", []string{" 7, 2,\t12 ,100"}, Report{Running: 7, Waiting: 2, Slots: 12, Pace: 100}, true},
		{"idle", []string{"0,0,12,100"}, Report{Slots: 12, Pace: 100}, true},
		{"repeated", []string{"7,2,12,100", "7,2,12,100"}, Report{}, false},
		{"empty", []string{""}, Report{}, false},
		{"too few", []string{"7,2"}, Report{}, false},
		{"too many", []string{"7,2,12,100,1"}, Report{}, false},
		{"empty number", []string{"7,,12,100"}, Report{}, false},
		{"ends with a comma", []string{"7,2,12,"}, Report{}, false},
		{"negative", []string{"-7,2,12,100"}, Report{}, false},
		{"sign", []string{"+7,2,12,100"}, Report{}, false},
		{"fraction", []string{"7,2,12,1.5"}, Report{}, false},
		{"exponent", []string{"7,2,12,1e3"}, Report{}, false},
		{"pace zero", []string{"7,2,12,0"}, Report{}, false},
		{"huge", []string{"7,2,12,99999999999999999999"}, Report{}, false},
		{"large", []string{"7,2,12,1048577"}, Report{}, false},
		{"long", []string{strings.Repeat("1", 4096)}, Report{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseReport(c.values)
			var failure *ReportError
			if got != c.want || c.ok != (err == nil) || err != nil && (!errors.As(err, &failure) || len(failure.Value) > maxReportBytes) {
				t.Errorf("got %+v, %v, want %+v, valid %v", got, err, c.want, c.ok)
			}
			if r, ok := ReadReport(c.values); !ok || r.Invalid == c.ok {
				t.Errorf("ReadReport: got %+v, %v, want a report, invalid %v", r, ok, !c.ok)
			}
		})
	}
	if _, ok := ReadReport(nil); ok {
		t.Error("ReadReport without a header: got a report, want none")
	}
}
