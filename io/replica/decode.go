package replica

import (
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Field numbers of wire.Command and wire.Membership.
const (
	commandTime        = 1
	commandMembership  = 3
	membershipJoins    = 1
	membershipAdded    = 2
	membershipLeaves   = 3
	membershipRemoved  = 4
	membershipDeparted = 5
)

// decodeCommand decodes a command of the log and returns the number of its entries that were left out.
//
// A leader of another program version may commit a node or an endpoint that this version cannot decode. Such an entry is left out and all
// others of the command are applied, since the entry would otherwise stop every replica, at each start again. Changes, claims and
// marks are decoded as a whole: leaving out what a leader has acknowledged would lose a change or run a request twice.
func decodeCommand(data []byte) (c *wire.Command, skipped int, err error) {
	c = &wire.Command{}
	err = proto.Unmarshal(data, c)
	if err == nil {
		return c, 0, nil
	}
	if c, skipped = decodeMembership(data); c == nil {
		return nil, 0, err
	}
	return c, skipped, nil
}

// decodeMembership decodes the readable entries of a membership command; it returns nil for any other command and for data that is not
// protobuf.
func decodeMembership(data []byte) (*wire.Command, int) {
	c, skipped, found := &wire.Command{}, 0, false
	m := &wire.Membership{}
	ok := eachField(data, func(number protowire.Number, kind protowire.Type, value []byte) bool {
		switch {
		case number == commandTime && kind == protowire.VarintType:
			v, _ := protowire.ConsumeVarint(value)
			c.Time = int64(v)
		case number == commandMembership && kind == protowire.BytesType:
			found = true
			return eachField(content(value), func(number protowire.Number, kind protowire.Type, value []byte) bool {
				if kind == protowire.BytesType && !addEntry(m, number, content(value)) {
					skipped++
				}
				return true
			})
		default:
			return number > commandMembership+2 // unknown fields are passed over, other bodies are not
		}
		return true
	})
	if !ok || !found {
		return nil, 0
	}
	c.Body = &wire.Command_Membership{Membership: m}
	return c, skipped
}

// addEntry adds one entry to a membership and reports whether it could be decoded.
func addEntry(m *wire.Membership, number protowire.Number, data []byte) bool {
	switch number {
	case membershipJoins:
		n := &wire.Node{}
		if proto.Unmarshal(data, n) != nil {
			return false
		}
		m.Joins = append(m.Joins, n)
	case membershipAdded:
		e := &wire.Endpoint{}
		if proto.Unmarshal(data, e) != nil {
			return false
		}
		m.Endpoints = append(m.Endpoints, e)
	case membershipDeparted:
		d := &wire.Departure{}
		if proto.Unmarshal(data, d) != nil {
			return false
		}
		m.Departed = append(m.Departed, d)
	case membershipLeaves, membershipRemoved:
		if !utf8.Valid(data) {
			return false
		}
		if number == membershipLeaves {
			m.Leaves = append(m.Leaves, string(data))
		} else {
			m.Removed = append(m.Removed, string(data))
		}
	}
	return true
}

// eachField calls f for each field of a message with its encoded value, until f returns false. It reports whether f accepted all fields
// and the message is well-formed.
func eachField(data []byte, f func(number protowire.Number, kind protowire.Type, value []byte) bool) bool {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return false
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 || !f(number, kind, data[:n]) {
			return false
		}
		data = data[n:]
	}
	return true
}

// content returns the bytes of a length-delimited value.
func content(value []byte) []byte {
	b, _ := protowire.ConsumeBytes(value)
	return b
}
