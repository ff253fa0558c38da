package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"
)

// object reads the fields of one JSON object. Unlike encoding/json it reports every fault, refuses unknown and repeated
// fields, and compares names exactly.
type object struct {
	*faults
	path   string
	fields map[string]json.RawMessage
}

// parse reads a document that is one object and nothing else.
func parse(f *faults, data []byte) *object {
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

// newObject splits an object that is known to be valid JSON into its fields.
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
		if _, twice := o.fields[name]; twice {
			f.add(o.at(name), "the field once")
		}
		o.fields[name] = value
	}
	return o
}

func (o *object) at(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// known reports fields that are not among the names, in the order of the names in the file.
func (o *object) known(names ...string) {
	allowed := make(map[string]bool, len(names))
	for _, n := range names {
		allowed[n] = true
	}
	for _, n := range sorted(o.fields) {
		if !allowed[n] {
			o.add(o.at(n), "no such field (known: %s)", list(names))
		}
	}
}

// scan decodes a field into v; an absent field leaves v as it is, null is refused.
func (o *object) scan(name, expected string, v any) bool {
	raw, ok := o.fields[name]
	if !ok {
		return false
	}
	if string(raw) == "null" || json.Unmarshal(raw, v) != nil {
		o.add(o.at(name), "%s", expected)
		return false
	}
	return true
}

func (o *object) text(name string) (v string) {
	o.scan(name, "a string", &v)
	return v
}

func (o *object) flag(name string) (v bool) {
	o.scan(name, "true or false", &v)
	return v
}

func (o *object) texts(name string) (v []string) {
	o.scan(name, "a list of strings", &v)
	return v
}

// count reads a whole number from 0 to 2^32-1; validation narrows the range.
func (o *object) count(name string) (v uint32) {
	o.scan(name, "a whole number of 0 or more", &v)
	return v
}

// duration reads a time such as "250ms" in whole milliseconds.
func (o *object) duration(name string) int64 {
	const expected = `a time such as "250ms" or "2s", in whole milliseconds`
	var text string
	if !o.scan(name, expected, &text) {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil || v%time.Millisecond != 0 {
		o.add(o.at(name), expected)
		return 0
	}
	return v.Milliseconds()
}

// objects calls read for each object of a list.
func (o *object) objects(name string, read func(*object)) {
	var raws []json.RawMessage
	o.scan(name, "a list of objects", &raws)
	for i, r := range raws {
		if e := newObject(o.faults, o.at(name)+"["+strconv.Itoa(i)+"]", r); e != nil {
			read(e)
		}
	}
}
