package config

import (
	"os"
	"testing"

	"godwitspindle/core/wire"
)

// Guards against example files that the parser or Validate refuses, or that lack the route of a request kind.
func TestExamples(t *testing.T) {
	for name, kinds := range map[string][]string{
		"sahyadri":   {"buy", "fares", "refunds", "history", "seats", "balances"},
		"karrakatta": {"appliances", "audits", "entries", "certificates"},
	} {
		t.Run(name, func(t *testing.T) {
			register, err := ParseRegister(read(t, name+"-register.json"))
			if err != nil {
				t.Fatal(err)
			}
			rules, err := ParseRules(read(t, name+"-rules.json"))
			if err != nil {
				t.Fatal(err)
			}
			if err := Validate(&wire.Content{Register: register, Sets: []*wire.RuleSet{rules}}); err != nil {
				t.Fatal(err)
			}
			found := make(map[string]bool)
			for _, r := range rules.GetRoutes() {
				found[r.GetName()] = true
			}
			for _, k := range kinds {
				if !found[k] {
					t.Errorf("got no route %s, want one", k)
				}
			}
		})
	}
}

func read(t testing.TB, name string) []byte {
	data, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
