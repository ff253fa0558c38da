package cmd

import (
	"bytes"
	"os"
	"testing"
)

// Guards against an explanation from which on-call cannot tell which limit refused a request, how old it was, who told it and how
// many requests were counted.
func TestExplainLimited(t *testing.T) {
	explainsAs(t, "a1", "testdata/limited.log", "testdata/limited.txt")
}

// Guards against an explanation from which on-call cannot tell why a request was refused for its key, or one that names an endpoint
// although none was tried.
func TestExplainKeys(t *testing.T) {
	for name, id := range map[string]string{
		"keymissing": "a7",
		"keyunknown": "a8",
		"keyparent":  "a9.1",
	} {
		t.Run(name, func(t *testing.T) { explainsAs(t, id, "testdata/keys.log", "testdata/"+name+".txt") })
	}
}

// Guards against an explanation from which on-call cannot tell that a stop cut a request, when the request was begun and sent, how
// much time was left then, and whether it was run.
func TestExplainCut(t *testing.T) {
	for name, id := range map[string]string{
		"cutbody":    "c24-1",   // the body was not complete
		"cutwaiting": "c33-1",   // it waited for a slot at its endpoint
		"cutrunning": "c25-1",   // its endpoint was at work, after a busy one
		"cutcall":    "c46-186", // the node of the endpoint stopped
	} {
		t.Run(name, func(t *testing.T) { explainsAs(t, id, "testdata/cut.log", "testdata/"+name+".txt") })
	}
}

// explainsAs compares the explanation of a request with a golden file.
func explainsAs(t *testing.T, id, log, file string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := newProgram().Run(t.Context(), []string{"explain", id, log}, &stdout, &stderr)
	if code != ExitDone || stderr.Len() > 0 {
		t.Fatalf("got exit code %d and %q, want %d and no error", code, stderr.String(), ExitDone)
	}
	if *update {
		if err := os.WriteFile(file, stdout.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := stdout.String(); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
