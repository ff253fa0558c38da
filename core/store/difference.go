package store

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"godwitspindle/core/wire"
)

// Differences returns the fields that differ between two configurations, as an accepted change lists them.
func Differences(before, after *wire.Content) []*wire.Difference {
	return differences(contentFromWire(before, nil), contentFromWire(after, nil))
}

// differences returns the fields that differ between two contents, sorted by key and by the order of fields in the message.
func differences(before, after *content) []*wire.Difference {
	var keys []string
	for k := range before.entries {
		keys = append(keys, k)
	}
	for k := range after.entries {
		if before.entries[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var list []*wire.Difference
	for _, k := range keys {
		list = append(list, difference(k, before.entries[k], after.entries[k])...)
	}
	return list
}

func difference(key string, before, after proto.Message) []*wire.Difference {
	if before == after {
		return nil // versions share unchanged messages
	}
	if before == nil {
		return []*wire.Difference{{Key: key, After: summary(after)}}
	}
	if after == nil {
		return []*wire.Difference{{Key: key, Before: summary(before)}}
	}
	var list []*wire.Difference
	b, a := before.ProtoReflect(), after.ProtoReflect()
	fields := b.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Name() == digestsField {
			list = append(list, keysDifference(key, before, after)...)
			continue
		}
		was, is := fieldText(b, f), fieldText(a, f)
		if was != is {
			list = append(list, &wire.Difference{Key: key, Field: string(f.Name()), Before: was, After: is})
		}
	}
	return list
}

// digestsField holds the digests of a customer's keys in its entry. Differences state only their number, since the digest of a key
// that is easy to guess gives the key away.
const digestsField = "digests"

func keysDifference(key string, before, after proto.Message) []*wire.Difference {
	b, a := before.(*wire.Customer).GetDigests(), after.(*wire.Customer).GetDigests()
	if slices.EqualFunc(b, a, bytes.Equal) {
		return nil
	}
	was, is := fmt.Sprint(len(b)), fmt.Sprint(len(a))
	added, withdrawn := missing(a, b), missing(b, a)
	if added+withdrawn == 0 {
		is += " in another order"
	}
	if added > 0 {
		is += fmt.Sprintf(", %d added", added)
	}
	if withdrawn > 0 {
		is += fmt.Sprintf(", %d withdrawn", withdrawn)
	}
	return []*wire.Difference{{Key: key, Field: "keys", Before: was, After: is}}
}

// missing returns how many digests of list are not in others.
func missing(list, others [][]byte) int {
	held := make(map[string]bool, len(others))
	for _, d := range others {
		held[string(d)] = true
	}
	n := 0
	for _, d := range list {
		if !held[string(d)] {
			n++
		}
	}
	return n
}

// summary returns the fields of an entry that are set, except its name.
func summary(m proto.Message) string {
	var parts []string
	r := m.ProtoReflect()
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Name() == digestsField {
			parts = append(parts, fmt.Sprintf("keys=%d", r.Get(f).List().Len()))
			continue
		}
		if f.Name() != "name" && r.Has(f) {
			parts = append(parts, string(f.Name())+"="+fieldText(r, f))
		}
	}
	return strings.Join(parts, " ")
}

func fieldText(m protoreflect.Message, f protoreflect.FieldDescriptor) string {
	v := m.Get(f)
	if f.IsList() {
		parts := make([]string, 0, v.List().Len())
		for i := range v.List().Len() {
			parts = append(parts, v.List().Get(i).String())
		}
		return strings.Join(parts, ",")
	}
	if f.Name() == "deadline" {
		return (time.Duration(v.Int()) * time.Millisecond).String()
	}
	return fmt.Sprint(v.Interface())
}

// overlap returns the paths (see fieldPath) that are in both lists; an added or removed entry counts as a change of all its fields.
func overlap(mine, theirs []*wire.Difference) []string {
	byKey := make(map[string][]*wire.Difference)
	for _, d := range theirs {
		byKey[d.GetKey()] = append(byKey[d.GetKey()], d)
	}
	var found []string
	for _, m := range mine {
		for _, t := range byKey[m.GetKey()] {
			switch {
			case t.GetField() == "" || t.GetField() == m.GetField():
				found = append(found, fieldPath(m))
			case m.GetField() == "":
				found = append(found, fieldPath(t))
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// fieldPath returns KEY.FIELD, or KEY for a whole entry.
func fieldPath(d *wire.Difference) string {
	if d.GetField() == "" {
		return d.GetKey()
	}
	return d.GetKey() + "." + d.GetField()
}
