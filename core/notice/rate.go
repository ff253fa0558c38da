package notice

import (
	"fmt"
	"strconv"
	"strings"
)

// Rate is the number of requests per second that an endpoint takes from all hosts together; 0 means no limit.
type Rate float64

// Bounds of a stated rate. Rates outside them count as the nearest one within.
const (
	// MinRate lets one request through each 2 s, also at a stated rate of zero, since only an answer shows that the limit has changed.
	MinRate Rate = 0.5
	// MaxRate is above what any endpoint gets.
	MaxRate Rate = 1e6
)

// maxRateBytes is the maximum length of a stated rate.
const maxRateBytes = 32

// Rules that a stated rate may break, as logged.
const (
	RuleDecimal  = "decimal"  // digits, optionally followed by a point and further digits
	RuleNegative = "negative" // not below zero
)

// Notice is what one answer of an endpoint states; the zero value states nothing.
type Notice struct {
	Limits  []string // values of the limit, usually one
	Leaving bool     // the endpoint is about to end and takes no new requests
}

// States reports whether the answer states anything.
func (n Notice) States() bool { return len(n.Limits) > 0 || n.Leaving }

// RateError reports a stated rate that breaks a rule.
type RateError struct {
	Rule  string // one of the Rule constants
	Value string
}

// Error names the rule and the value.
func (e *RateError) Error() string {
	return fmt.Sprintf("stated limit: want a rate in requests per second (rule %s), got %q", e.Rule, e.Value)
}

// ParseRate returns the lowest usable rate of a list of values, each of which may hold several rates separated by commas. If none
// is usable it returns the *RateError of the last one.
func ParseRate(values []string) (Rate, error) {
	var lowest Rate
	var failure error = &RateError{Rule: RuleDecimal}
	for _, line := range values {
		for text := range strings.SplitSeq(line, ",") {
			r, err := parseOne(strings.Trim(text, " \t"))
			if err != nil {
				failure = err
				continue
			}
			if lowest == 0 || r < lowest {
				lowest = r
			}
		}
	}
	if lowest > 0 {
		return lowest, nil
	}
	return 0, failure
}

func parseOne(text string) (Rate, error) {
	if rest, ok := strings.CutPrefix(text, "-"); ok && isDecimal(rest) {
		return 0, &RateError{Rule: RuleNegative, Value: text}
	}
	if !isDecimal(text) {
		return 0, &RateError{Rule: RuleDecimal, Value: text[:min(len(text), maxRateBytes)]}
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, &RateError{Rule: RuleDecimal, Value: text}
	}
	return min(max(Rate(f), MinRate), MaxRate), nil
}

// isDecimal excludes signs, exponents, hexadecimal numbers and the names of special values, all of which strconv accepts.
func isDecimal(text string) bool {
	whole, fraction, point := strings.Cut(text, ".")
	return len(text) <= maxRateBytes && isDigits(whole) && (!point || isDigits(fraction))
}

func isDigits(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return text != ""
}
