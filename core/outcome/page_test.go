package outcome

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// constants returns the string constants of a Go file for which isCode reports true, given their name and type.
func constants(t *testing.T, file string, isCode func(name, kind string) bool) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatalf("parse %s: %v", file, err)
	}
	var list []string
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		kind, _ := v.Type.(*ast.Ident)
		value, literal := v.Values[0].(*ast.BasicLit)
		if literal && isCode(v.Names[0].Name, kind.String()) {
			text, _ := strconv.Unquote(value.Value)
			list = append(list, text)
		}
		return true
	})
	return list
}

// Guards against a code of callers or operators that docs/OPERATIONS.md does not explain, and against a code on that page that
// the program does not define.
func TestPageListsCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		section, file string
		isCode        func(name, kind string) bool
	}{
		{"Codes that callers see", "failure.go", func(_, kind string) bool { return kind == "Code" }},
		{"Answers to operators", "../../io/operator/problem.go", func(name, _ string) bool { return strings.HasPrefix(name, "Code") }},
	}
	for _, tt := range tests {
		t.Run(tt.section, func(t *testing.T) {
			_, section, _ := strings.Cut(string(page), "\n## "+tt.section+"\n")
			section, _, _ = strings.Cut(section, "\n## ")
			var got []string
			for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|").FindAllStringSubmatch(section, -1) {
				got = append(got, m[1])
			}
			want := constants(t, tt.file, tt.isCode)
			slices.Sort(got)
			slices.Sort(want)
			if len(want) == 0 || !slices.Equal(got, want) {
				t.Errorf("codes in docs/OPERATIONS.md: got %v, want %v", got, want)
			}
		})
	}
}
