package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/caller"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
)

const testCustomers = `{"customers":[{"name":"acme","keys":["sk-old","sk-new"],"priority":9},{"name":"plain","keys":["sk-plain"]}]}`

// applyLatest applies a change to the current version and waits until all nodes have it.
func (m *testMesh) applyLatest(t *testing.T, change operator.Change) (version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	ops := m.OperatorClient()
	defer ops.Close()
	status, err := ops.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	change.Base, change.Author, change.Reason = status.Version, "test", "test"
	a, err := ops.Apply(ctx, change)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Await(ctx, func(h *host.Host) bool { return h.View().Snapshot.Version() >= a.Version }); err != nil {
		t.Fatal(err)
	}
	return a.Version
}

// ask returns status and code of a request to a listener.
func ask(t *testing.T, at netip.AddrPort, headers map[string]string) (int, outcome.Code) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.String()+"/fares", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	return p.StatusCode, outcome.Code(p.Header.Get(outcome.HeaderCode))
}

// Guards against customers of a file that the product's own interface does not enforce, against nested calls on the local listener that
// need a key, and against a revert that brings a withdrawn key back.
func TestCustomersOfOperators(t *testing.T) {
	m := startMesh(t, 1)
	entry, local := m.callers[firstEntry], m.Hosts[firstCounter].Listen().Local
	key := func(k string) map[string]string { return map[string]string{"Authorization": "Bearer " + k} }
	nested := func(customer string) map[string]string {
		c := caller.Context{Depth: 1, Deadline: time.Now().Add(time.Minute), Budget: 1, Customer: customer}
		return map[string]string{caller.HeaderContext: c.String()}
	}
	check := func(step string, at netip.AddrPort, headers map[string]string, status int, code outcome.Code) {
		t.Helper()
		if got, gotCode := ask(t, at, headers); got != status || gotCode != code {
			t.Errorf("%s: got %d %q, want %d %q", step, got, gotCode, status, code)
		}
	}
	check("before customers", entry, nil, 200, "")
	first := m.applyLatest(t, operator.Change{ID: "customers", Customers: json.RawMessage(testCustomers)})
	check("no key", entry, nil, 401, outcome.Unauthorized)
	check("key", entry, key("sk-old"), 200, "")
	check("key at the host of the endpoint", m.callers[firstCounter], key("sk-plain"), 200, "")
	check("nested call", local, nested("acme"), 200, "")
	check("nested call for a public request", local, nested(""), 200, "")
	check("own request of a backend server", local, nil, 401, outcome.Unauthorized)
	check("context that a caller made up", entry, nested("acme"), 401, outcome.Unauthorized)

	m.applyLatest(t, operator.Change{ID: "withdraw", Customers: json.RawMessage(`{"customers":[{"name":"acme","keys":["sk-new"]}]}`)})
	check("withdrawn key", entry, key("sk-old"), 401, outcome.Unauthorized)
	check("key that stays", entry, key("sk-new"), 200, "")
	m.applyLatest(t, operator.Change{ID: "revert", Revert: first})
	check("withdrawn key after a revert", entry, key("sk-old"), 401, outcome.Unauthorized)
	check("key that stays after a revert", entry, key("sk-new"), 200, "")
	m.applyLatest(t, operator.Change{ID: "none", Customers: json.RawMessage(`{"customers":[]}`)})
	check("no customers any more", entry, nil, 200, "")
}
