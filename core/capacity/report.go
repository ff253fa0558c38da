package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Limits of a reported value. A larger value is a fault of the backend server.
const (
	maxCount = 1 << 20 // requests and slots
	minPace  = 1       // percent
	maxPace  = 1 << 20 // percent

	maxReportBytes = 64
)

// Report is the load that a backend server states in a response.
type Report struct {
	Running int
	Waiting int
	Slots   int
	Pace    int  // how long work takes there now, in percent of usual; 0 if not stated
	Invalid bool // the response has a report that does not follow the format; the other fields are zero
}

// ReportError reports a load report that does not follow the format.
type ReportError struct{ Value string }

// Error shows the value.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report: want RUNNING,WAITING,SLOTS[,PACE], got %q", e.Value)
}

// ParseReport parses the values of a load report header, of which there must be exactly one: three or four decimal numbers
// separated by commas.
func ParseReport(values []string) (Report, error) {
	if len(values) != 1 || len(values[0]) > maxReportBytes {
		text := strings.Join(values, "; ")
		return Report{}, &ReportError{Value: text[:min(len(text), maxReportBytes)]}
	}
	var numbers [4]int
	rest, n := values[0], 0
	for more := true; more; n++ {
		var part string
		part, rest, more = strings.Cut(rest, ",")
		value, ok := parseCount(strings.Trim(part, " \t"))
		if !ok || n >= len(numbers) {
			return Report{}, &ReportError{Value: values[0]}
		}
		numbers[n] = value
	}
	r := Report{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Pace: numbers[3]}
	if n < 3 || n == 4 && (r.Pace < minPace || r.Pace > maxPace) {
		return Report{}, &ReportError{Value: values[0]}
	}
	return r, nil
}

// ReadReport returns the report in the values of a load report header; ok is false if there are none. A report that does not follow
// the format is marked as invalid.
func ReadReport(values []string) (r Report, ok bool) {
	if len(values) == 0 {
		return Report{}, false
	}
	r, err := ParseReport(values)
	if err != nil {
		return Report{Invalid: true}, true
	}
	return r, true
}

// parseCount parses digits only; strconv alone also accepts a sign.
func parseCount(text string) (int, bool) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n <= maxCount
}
