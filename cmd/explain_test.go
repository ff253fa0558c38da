package cmd

import (
	"bytes"
	"os"
	"testing"
)

// Guards against an explanation from which on-call cannot tell which limit refused a request, how old it was, who told it and how
// many requests were counted.
func TestExplainLimited(t *testing.T) {
	const file = "testdata/limited.txt"
	var stdout, stderr bytes.Buffer
	code := newProgram().Run(t.Context(), []string{"explain", "a1", "testdata/limited.log"}, &stdout, &stderr)
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
