package hop

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// limitFields is the number of fields of a KnownLimit in Mesh-Limit: rate, age in milliseconds, incarnation and node.
const limitFields = 4

// maxRate is the maximum rate that a node accepts, in requests per second.
const maxRate = 1e6

// KnownLimit is the limit of an endpoint as the sender of a call knows it from an earlier answer, for a node that has restarted
// since; the zero value states none.
type KnownLimit struct {
	Rate        float64       // requests per second
	Age         time.Duration // time since the answer
	Incarnation uint64        // process of the endpoint that stated the limit
	Node        string        // name of the sender
}

func (l *KnownLimit) encode() string {
	return strings.Join([]string{
		strconv.FormatFloat(l.Rate, 'f', -1, 64), strconv.FormatInt(max(l.Age.Milliseconds(), 0), 10),
		strconv.FormatUint(l.Incarnation, 10), l.Node,
	}, " ")
}

func (d *decoder) limit(value string, m *Meta) {
	fields := strings.Split(value, " ")
	if len(fields) != limitFields {
		d.fail(headerLimit, value)
		return
	}
	rate, err := parseRate(fields[0])
	if err != nil {
		d.fail(headerLimit, value)
		return
	}
	age := d.number(headerLimit, fields[1], 0, math.MaxInt32)
	incarnation, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		d.fail(headerLimit, value)
		return
	}
	m.Limit = KnownLimit{Rate: rate, Age: time.Duration(age) * time.Millisecond, Incarnation: incarnation, Node: d.name(headerLimit, fields[3])}
}

// parseRate accepts rates from above 0 to maxRate.
func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate > 0 && rate <= maxRate) {
		return 0, &MetaError{Header: headerLimit, Value: text}
	}
	return rate, nil
}
