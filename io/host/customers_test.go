package host

import (
	"fmt"
	"testing"

	"godwitspindle/io/hop"
)

// Guards against metrics that grow with the number of customers.
func TestCustomerLabels(t *testing.T) {
	var l customerLabels
	for i := range 300 {
		want := fmt.Sprint("c", i)
		if i >= maxCustomerLabels {
			want = "(other)"
		}
		if got := l.of(fmt.Sprint("c", i)); got != want {
			t.Fatalf("label of customer %d: got %s, want %s", i, got, want)
		}
	}
	if got := l.of("c7"); got != "c7" {
		t.Errorf("label of a known customer: got %s, want c7", got)
	}
}

// Guards against admission that shares capacity among callers' addresses although the customers are known, and against calls without
// a customer that are no longer known by their address.
func TestAdmissionByCustomer(t *testing.T) {
	tests := []struct{ customer, want string }{{"acme", "acme acme"}, {"", "192.0.2.1 "}}
	for _, c := range tests {
		r := admissionRequest(t.Context(), hop.Meta{Caller: "192.0.2.1", Customer: c.customer, Depth: 1})
		if got := r.Caller + " " + r.Customer; got != c.want {
			t.Errorf("customer %q: got %q, want %q", c.customer, got, c.want)
		}
	}
}
