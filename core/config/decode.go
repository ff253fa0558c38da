package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"
)

// object decodes the fields of one JSON object. Unlike encoding/json it reports up to maxFaults faults, refuses unknown and
// repeated fields, and matches names case-sensitively.
type object struct {
	*faults
	path   string
	fields map[string]json.RawMessage
}

// parseObject splits a document that must consist of exactly one JSON object. It reports a fault and returns nil if the document
// does not begin with an object. If more follows, it reports a fault and still returns the object.
func parseObject(f *faults, data []byte) *object {
	d := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		f.add("file", "a JSON object (%v)", err)
		return nil
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		f.add("file", "nothing after the JSON object")
	}
	return newObject(f, "", raw)
}

// newObject splits valid JSON into the fields of an object; it reports a fault and returns nil if raw is no object.
func newObject(f *faults, path string, raw json.RawMessage) *object {
	o := &object{faults: f, path: path, fields: make(map[string]json.RawMessage)}
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		if path == "" {
			path = "file"
		}
		f.add(path, "a JSON object")
		return nil
	}
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return o
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return o
		}
		if _, repeated := o.fields[name]; repeated {
			f.add(o.fieldPath(name), "the field only once")
		}
		o.fields[name] = value
	}
	return o
}

func (o *object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// reportUnknown reports the fields whose names are not listed, in alphabetical order.
func (o *object) reportUnknown(names ...string) {
	allowed := make(map[string]bool, len(names))
	for _, n := range names {
		allowed[n] = true
	}
	for _, n := range sortedKeys(o.fields) {
		if !allowed[n] {
			o.add(o.fieldPath(n), "a known field (one of %s)", joinNames(names))
		}
	}
}

// decodeField decodes a field into v and reports whether the field was decoded. An absent field leaves v unchanged; null and a
// value that v cannot hold are faults.
func (o *object) decodeField(name, expected string, v any) bool {
	raw, ok := o.fields[name]
	if !ok {
		return false
	}
	if string(raw) == "null" || json.Unmarshal(raw, v) != nil {
		o.add(o.fieldPath(name), "%s", expected)
		return false
	}
	return true
}

func (o *object) text(name string) (v string) {
	o.decodeField(name, "a string", &v)
	return v
}

func (o *object) boolean(name string) (v bool) {
	o.decodeField(name, "true or false", &v)
	return v
}

func (o *object) textList(name string) (v []string) {
	o.decodeField(name, "a list of strings", &v)
	return v
}

// count decodes a whole number from 0 to 2^32-1, or returns 0; validation checks the range of each field later.
func (o *object) count(name string) (v uint32) {
	o.decodeField(name, "a whole number of 0 or more", &v)
	return v
}

// number decodes a number, or returns 0; validation checks its range later.
func (o *object) number(name string) (v float64) {
	o.decodeField(name, "a finite number", &v)
	return v
}

// duration decodes a time such as "250ms" and returns it in milliseconds, or 0 if it is absent or faulty.
func (o *object) duration(name string) int64 {
	const expected = `a time such as "250ms" or "2s", in whole milliseconds`
	var text string
	if !o.decodeField(name, expected, &text) {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil || v%time.Millisecond != 0 {
		o.add(o.fieldPath(name), expected)
		return 0
	}
	return v.Milliseconds()
}

// eachObject calls read for each object in a list; it reports the elements that are no objects.
func (o *object) eachObject(name string, read func(*object)) {
	var raws []json.RawMessage
	o.decodeField(name, "a list of objects", &raws)
	for i, r := range raws {
		if e := newObject(o.faults, o.fieldPath(name)+"["+strconv.Itoa(i)+"]", r); e != nil {
			read(e)
		}
	}
}
