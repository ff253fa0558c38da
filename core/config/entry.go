package config

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Kinds of entries. A key has the form KIND/NAME; NAME is SERVICE/NAME for an endpoint and the fingerprint in hexadecimal for a
// suspect.
const (
	kindService  = "service"
	kindDomain   = "domain"
	kindRoute    = "route"
	kindLimit    = "limit"
	kindDrain    = "drain"
	kindNode     = "node"
	kindEndpoint = "endpoint"
	kindSuspect  = "suspect" // fingerprint of a request that was running when a backend server crashed
	kindBounds   = "bounds"  // limits on requests
	kindCustomer = "customer"
	kindRollout  = "rollout" // newest rollout of a service
)

// Entry is one key and value of a snapshot, with the version that last changed it.
type Entry struct {
	Key     string
	Version uint64
	Value   []byte
}

// Digest identifies the content of a snapshot by two sums of independent 64-bit hashes over all entries.
type Digest struct{ Low, High uint64 }

// String formats the digest as 32 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.High, d.Low) }

// Wire returns the protobuf message of the digest.
func (d Digest) Wire() *wire.Digest { return &wire.Digest{Low: d.Low, High: d.High} }

// DigestOf returns the digest from a protobuf message; nil gives the digest of the empty snapshot.
func DigestOf(m *wire.Digest) Digest { return Digest{Low: m.GetLow(), High: m.GetHigh()} }

func (d Digest) plus(o Digest) Digest  { return Digest{Low: d.Low + o.Low, High: d.High + o.High} }
func (d Digest) minus(o Digest) Digest { return Digest{Low: d.Low - o.Low, High: d.High - o.High} }

// record is an immutable entry with its hash and decoded message. Snapshots that hold the same entry share its record.
type record struct {
	Entry
	hash    Digest
	message proto.Message // nil if the kind is unknown, if the value does not decode or names another key, and for an unusable member
}

func newRecord(e Entry) *record {
	return &record{Entry: e, hash: hashEntry(e), message: decode(e.Key, e.Value)}
}

// hashEntry hashes the key with its length, the version and the value under two seeds.
func hashEntry(e Entry) Digest {
	head := make([]byte, 0, 128)
	head = binary.AppendUvarint(head, uint64(len(e.Key)))
	head = append(head, e.Key...)
	head = binary.BigEndian.AppendUint64(head, e.Version)
	var d xxhash.Digest
	sum := func(seed uint64) uint64 {
		d.ResetWithSeed(seed)
		_, _ = d.Write(head)
		_, _ = d.Write(e.Value)
		return d.Sum64()
	}
	return Digest{Low: sum(0), High: sum(0x9e3779b97f4a7c15)}
}

// isMember reports whether a key is that of a node or an endpoint. Processes announce these themselves, so that one entry which cannot
// be used, for instance of a process of another version, must not keep nodes from following all others: a snapshot holds it, since
// it is part of the digest, but tables leave it out.
func isMember(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return kind == kindNode || kind == kindEndpoint
}

// decode returns the message in a value, or nil if the kind is unknown, if the value does not decode or names another key, or if it is
// a node or an endpoint that cannot be used.
func decode(key string, value []byte) proto.Message {
	kind, _, _ := strings.Cut(key, "/")
	var m proto.Message
	switch kind {
	case kindService:
		m = new(wire.Service)
	case kindDomain:
		m = new(wire.Domain)
	case kindRoute:
		m = new(wire.Route)
	case kindLimit:
		m = new(wire.Limit)
	case kindDrain:
		m = new(wire.Drain)
	case kindNode:
		m = new(wire.Node)
	case kindEndpoint:
		m = new(wire.Endpoint)
	case kindSuspect:
		m = new(wire.Suspect)
	case kindBounds:
		m = new(wire.Bounds)
	case kindCustomer:
		m = new(wire.Customer)
	case kindRollout:
		m = new(wire.Rollout)
	default:
		return nil
	}
	if err := proto.Unmarshal(value, m); err != nil || KeyOf(m) != key || !isUsable(m) {
		return nil
	}
	return m
}

func isUsable(m proto.Message) bool {
	switch m := m.(type) {
	case *wire.Node:
		return ValidNode(m)
	case *wire.Endpoint:
		return ValidEndpoint(m)
	}
	return true
}

// KeyOf returns the entry key of a message, or "" if its type is not that of an entry.
func KeyOf(m proto.Message) string {
	switch m := m.(type) {
	case *wire.Service:
		return kindService + "/" + m.GetName()
	case *wire.Domain:
		return kindDomain + "/" + m.GetName()
	case *wire.Route:
		return kindRoute + "/" + m.GetName()
	case *wire.Limit:
		return kindLimit + "/" + m.GetName()
	case *wire.Drain:
		return kindDrain + "/" + m.GetName()
	case *wire.Node:
		return kindNode + "/" + m.GetName()
	case *wire.Endpoint:
		return kindEndpoint + "/" + m.GetService() + "/" + m.GetName()
	case *wire.Bounds:
		return kindBounds + "/" + m.GetName()
	case *wire.Customer:
		return kindCustomer + "/" + m.GetName()
	case *wire.Rollout:
		return kindRollout + "/" + m.GetService()
	case *wire.Suspect:
		return kindSuspect + "/" + hex.EncodeToString(m.GetFingerprint())
	}
	return ""
}
