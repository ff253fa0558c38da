package process

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite golden files")

const minimal = `{"name":"a","region":"munnar","domain":"lower","listen":{"caller":"10.0.0.1:80"},
 "replicas":[{"name":"r","address":"10.0.0.9:7003"}]}`

// Guards against defaults that depend on the order of fields or are not always set.
func TestDefaults(t *testing.T) {
	s, err := Parse("dir/a.json", []byte(strings.Replace(minimal, `"name":"a"`, `"name":"a","data":"d","grace":"2s"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	if s.Listen.Peer != want.Listen.Peer || s.Profile != Fast || s.Log.Sample != 1000 || s.IsReplica() {
		t.Errorf("got %+v, want the defaults", s)
	}
	if s.Quota != DefaultQuota() {
		t.Errorf("got quota %+v, want %+v", s.Quota, DefaultQuota())
	}
	if s.Grace != 2*time.Second || s.Data != filepath.Join("dir", "d") {
		t.Errorf("got grace %s data %s, want 2s and a path beside the file", s.Grace, s.Data)
	}
}

// Guards against a fault that hides another one, and against messages that lack the field or what is expected.
func TestFaults(t *testing.T) {
	member := func(n string) string {
		return `{"name":"` + n + `","address":"10.0.0.` + n + `:7003"}`
	}
	tests := []struct{ name, input string }{
		{"not json", "{\n\"name\": }"},
		{"not an object", `[]`},
		{"empty", `{}`},
		{"unknown fields", strings.Replace(minimal, `"name"`, `"nodes":1,"tls":{"cart":"x"},"name"`, 1)},
		{"repeated", strings.Replace(minimal, `"name":"a"`, `"name":"a","name":"b"`, 1)},
		{"wrong types", `{"name":1,"region":"A B","domain":null,"data":"","replicas":{},"listen":"x","key":7,"profile":"slow","log":{"level":"warn","sample":-1},"grace":30}`},
		{"wrong units", strings.Replace(minimal, `"name":"a"`, `"grace":"30","name":"a"`, 1)},
		{"wrong addresses", strings.Replace(minimal, `"caller":"10.0.0.1:80"`, `"caller":"host:80","peer":"10.0.0.1","local":"127.0.0.1:0"`, 1)},
		{"even replicas", strings.Replace(minimal, `[{"name":"r","address":"10.0.0.9:7003"}]`, "["+member("1")+","+member("2")+"]", 1)},
		{"same replica", strings.Replace(minimal, `[{"name":"r","address":"10.0.0.9:7003"}]`, "["+member("1")+","+member("1")+`,{"name":"x","port":1}]`, 1)},
		{"replica without data", strings.Replace(minimal, `"name":"a"`, `"name":"r"`, 1)},
		{"open listeners", strings.Replace(minimal, `"caller"`, `"peer":"10.0.0.1:1","operator":"0.0.0.0:2","local":"10.0.0.1:3","backend":"10.0.0.1:4","caller"`, 1)},
		{"metrics may be open", strings.Replace(minimal, `"caller"`, `"metrics":"0.0.0.0:9","caller"`, 1)},
		{"same address", strings.Replace(minimal, `"caller"`, `"metrics":"127.0.0.1:7003","caller"`, 1)},
		{"short key", strings.Replace(minimal, `"name"`, `"key":"short","listen2":0,"name"`, 1)},
		{"missing key file", strings.Replace(minimal, `"caller"`, `"peer":"10.0.0.1:1","caller"`, 1)[:1] + `"key":{"file":"/nonexistent"},` + strings.Replace(minimal, `"caller"`, `"peer":"10.0.0.1:1","caller"`, 1)[1:]},
		{"quota out of range", strings.Replace(minimal, `"name"`, `"quota":{"window":"5ms","overage":-0.1,"slack":1e9},"name"`, 1)},
		{"quota of wrong types", strings.Replace(minimal, `"name"`, `"quota":{"window":5,"overage":"a tenth","slack":null,"depth":1},"name"`, 1)},
		{"half of tls", strings.Replace(minimal, `"name"`, `"tls":{"cert":"/nonexistent"},"name"`, 1)},
	}
	var out strings.Builder
	for _, tt := range tests {
		_, err := Parse("a.json", []byte(tt.input))
		out.WriteString("# " + tt.name + "\n")
		if e, ok := errors.AsType[*SettingsError](err); ok {
			out.WriteString(e.Error() + "\n")
		}
	}
	golden(t, "faults.txt", out.String())
}

// Guards against documentation whose fields, units or defaults differ from the code.
func TestDocumentation(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range Fields() {
		def := "–"
		if f.Default != "" {
			def = "`" + f.Default + "`"
		}
		if f.Required {
			def = "required"
		}
		want := "| `" + f.Path + "` | " + f.Unit + " | " + def + " |"
		if !strings.Contains(string(data), want) {
			t.Errorf("got no row %q in docs/OPERATIONS.md", want)
		}
	}
	rows := strings.Count(string(data), "\n| `") - strings.Count(string(data[strings.Index(string(data), "<!-- end of settings -->"):]), "\n| `")
	if rows != len(Fields()) {
		t.Errorf("got %d rows of settings, want %d", rows, len(Fields()))
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil || got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
