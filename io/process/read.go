package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
)

// settingsReader parses one settings file and collects its faults.
type settingsReader struct {
	file     string
	settings *Settings
	faults   []Fault
}

// fault records a fault of a field, unless the field, a part of the field or the whole file already has a fault: later faults
// may follow from the first. Faults of the whole file are all kept.
func (r *settingsReader) fault(field, expected string) {
	if field != "" && r.hasFault(field) {
		return
	}
	r.faults = append(r.faults, Fault{File: r.file, Field: field, Expected: expected})
}

// hasFault reports whether the field, a part of it or the whole file has a fault.
func (r *settingsReader) hasFault(field string) bool {
	return slices.ContainsFunc(r.faults, func(f Fault) bool {
		rest, ok := strings.CutPrefix(f.Field, field)
		return f.Field == "" || ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// read sets every field in the file and records unknown, repeated and mistyped ones, and required ones that are missing.
func (r *settingsReader) read(data []byte) {
	values := map[string]json.RawMessage{}
	if !r.readObject("", data, values) {
		return
	}
	fields := Fields()
	for _, f := range fields {
		group, _, nested := strings.Cut(f.Path, ".")
		raw, ok := values[group]
		if !nested || !ok {
			continue
		}
		r.readObject(group, raw, values)
		delete(values, group)
	}
	for _, f := range fields {
		raw, ok := values[f.Path]
		delete(values, f.Path)
		switch {
		case !ok && f.Required:
			r.fault(f.Path, "a value ("+f.Unit+"), as it has no default")
		case ok && bytes.Equal(raw, []byte("null")):
			r.fault(f.Path, f.Unit+", not null")
		case ok && f.Path == "replicas":
			r.readReplicas(raw)
		case ok:
			if expected := f.set(r.settings, raw); expected != "" {
				r.fault(f.Path, expected)
			}
		}
	}
	for _, k := range sortedKeys(values) {
		r.fault(k, "no such field")
	}
}

// readObject adds the members of a JSON object to values, with the path of the object as a prefix of their names. It records a
// fault and reports false if data is no JSON object.
func (r *settingsReader) readObject(path string, data []byte, values map[string]json.RawMessage) bool {
	if !json.Valid(data) {
		r.fault(path, "one valid JSON object"+syntaxErrorPosition(data))
		return false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		r.fault(path, "a JSON object")
		return false
	}
	prefix := ""
	if path != "" {
		prefix = path + "."
	}
	for d.More() {
		t, _ := d.Token()
		var raw json.RawMessage
		_ = d.Decode(&raw)
		k := prefix + t.(string)
		if _, ok := values[k]; ok {
			r.fault(k, "the field only once")
		}
		values[k] = raw
	}
	return true
}

// syntaxErrorPosition describes the line and the cause of the first syntax error; without one, it returns an empty string.
func syntaxErrorPosition(data []byte) string {
	var value any
	syntax, ok := json.Unmarshal(data, &value).(*json.SyntaxError)
	if !ok {
		return ""
	}
	before := data[:min(int(syntax.Offset), len(data))]
	return fmt.Sprintf(", not the error on line %d: %s", 1+bytes.Count(before, []byte("\n")), syntax)
}

func (r *settingsReader) readReplicas(raw json.RawMessage) {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		r.fault("replicas", `a list such as [{"name":"a","address":"10.0.0.1:7003"}]`)
		return
	}
	if !slices.Contains([]int{1, 3, 5, 7}, len(list)) {
		r.fault("replicas", fmt.Sprintf("1, 3, 5 or 7 members, not %d", len(list)))
	}
	for i, m := range list {
		r.readReplica(fmt.Sprintf("replicas[%d]", i), m)
	}
}

func (r *settingsReader) readReplica(path string, raw json.RawMessage) {
	values := map[string]json.RawMessage{}
	if !r.readObject(path, raw, values) {
		return
	}
	var member Replica
	if json.Unmarshal(values[path+".name"], &member.Name) != nil || !namePattern.MatchString(member.Name) {
		r.fault(path+".name", nameExpected)
	}
	a, ok := parseAddress(values[path+".address"])
	if !ok {
		r.fault(path+".address", addressExpected)
	}
	member.Address = a
	delete(values, path+".name")
	delete(values, path+".address")
	for _, k := range sortedKeys(values) {
		r.fault(k, "no such field")
	}
	for _, m := range r.settings.Replicas {
		if m.Name == member.Name || m.Address == member.Address {
			r.fault(path, "a name and address that no other replica has")
		}
	}
	r.settings.Replicas = append(r.settings.Replicas, member)
}

// check records faults that depend on several fields. A field that already has a fault gets no second one.
func (r *settingsReader) check() {
	s := r.settings
	r.checkTLS()
	guarded := s.Key != "" || s.TLS.Enabled() || r.hasFault("key") || r.hasFault("tls")
	if !s.Listen.Peer.Addr().IsLoopback() && !guarded {
		r.fault("listen.peer", "a loopback address, or the setting key or tls beside it")
	}
	if !s.Listen.Operator.Addr().IsLoopback() && !guarded {
		r.fault("listen.operator", "a loopback address, or the setting key or tls beside it")
	}
	if s.Listen.Peer.Addr().IsUnspecified() {
		r.fault("listen.peer", "the address that other nodes call, not "+s.Listen.Peer.Addr().String())
	}
	if !s.Listen.Local.Addr().IsLoopback() {
		r.fault("listen.local", "a loopback address, as it reaches internal services")
	}
	if !s.Listen.Backend.Addr().IsLoopback() {
		r.fault("listen.backend", "a loopback address, as it changes the endpoints of this node")
	}
	r.checkListeners()
	for _, m := range s.Replicas {
		if m.Name != s.Name {
			continue
		}
		if s.Data == "" {
			r.fault("data", "a folder, as replicas lists this node")
		}
		if m.Address != s.Listen.Peer {
			r.fault("listen.peer", m.Address.String()+", the address of this node in replicas")
		}
	}
}

func (r *settingsReader) checkListeners() {
	l := r.settings.Listen
	all := []struct {
		field   string
		address netip.AddrPort
	}{
		{"listen.caller", l.Caller},
		{"listen.local", l.Local},
		{"listen.backend", l.Backend},
		{"listen.peer", l.Peer},
		{"listen.operator", l.Operator},
		{"listen.metrics", l.Metrics},
	}
	seen := map[netip.AddrPort]string{}
	for _, a := range all {
		if other, ok := seen[a.address]; ok {
			r.fault(a.field, "another address than "+other)
		}
		seen[a.address] = a.field
	}
}

func (r *settingsReader) checkTLS() {
	t := r.settings.TLS
	if t == (TLSFiles{}) {
		return
	}
	files := []struct{ field, file string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}}
	for _, f := range files {
		if f.file == "" {
			r.fault(f.field, "a PEM file, as tls needs cert, key and ca")
			continue
		}
		if _, err := os.Stat(f.file); err != nil {
			r.fault(f.field, "a readable PEM file")
		}
	}
}

func parseAddress(raw json.RawMessage) (netip.AddrPort, bool) {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	return a, err == nil && a.Port() != 0
}

func sortedKeys(values map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
