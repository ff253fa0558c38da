package config

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

const secret = "secret-key" // part of every key in these tests; no text about them may contain it

func customer(name string, keys ...string) *wire.Customer {
	return &wire.Customer{Name: name, Keys: keys}
}

// Guards against customers that lock callers out or let one customer use another's quota, and against a fault that quotes a key.
func TestCustomerFaults(t *testing.T) {
	many := func(customers, keys int) []*wire.Customer {
		var list []*wire.Customer
		for i := range customers {
			c := customer(fmt.Sprint("c", i))
			for k := range keys {
				c.Keys = append(c.Keys, fmt.Sprint(secret, i, "-", k))
			}
			list = append(list, c)
		}
		return list
	}
	one := func(change func(c *wire.Customer)) []*wire.Customer {
		c := customer("a", secret)
		change(c)
		return []*wire.Customer{c}
	}
	tests := []struct {
		name string
		list []*wire.Customer
		want string // fields of the faults
	}{
		{"none", nil, ""},
		{"valid", []*wire.Customer{customer("a", secret, secret+"2"), {Name: "b", Keys: []string{secret + "é"}, Priority: proto.Uint32(9), Rate: 0.5, Burst: 7}}, ""},
		{"at the limits", many(MaxCustomers, 2), ""},
		{"too many customers", many(MaxCustomers+1, 1), "customers"},
		{"too many keys", many(1, MaxKeys+1), "customers"},
		{"same name", []*wire.Customer{customer("a", secret), customer("b", secret+"2"), customer("a", secret+"3")}, "customers[2].name"},
		{"no name", []*wire.Customer{customer("", secret)}, "customers[0].name"},
		{"name with a blank", []*wire.Customer{customer("a b", secret)}, "customers[0].name"},
		{"key of two", []*wire.Customer{customer("a", secret), customer("b", secret+"2", secret)}, "customers[1].keys[1]"},
		{"key twice", []*wire.Customer{customer("a", secret, secret)}, "customers[0].keys[1]"},
		{"all keys withdrawn", []*wire.Customer{customer("a")}, ""},
		{"empty key", []*wire.Customer{customer("a", secret, "")}, "customers[0].keys[1]"},
		{"key with a blank", []*wire.Customer{customer("a", secret+" x")}, "customers[0].keys[0]"},
		{"key with a line break", []*wire.Customer{customer("a", secret+"\n")}, "customers[0].keys[0]"},
		{"key with DEL", []*wire.Customer{customer("a", secret+"\x7f")}, "customers[0].keys[0]"},
		{"long key", []*wire.Customer{customer("a", secret+strings.Repeat("x", MaxKey))}, "customers[0].keys[0]"},
		{"digests", one(func(c *wire.Customer) { c.Digests = [][]byte{HashKey("x")} }), "customers[0].digests"},
		{"rate below 0", one(func(c *wire.Customer) { c.Rate = -1 }), "customers[0].rate"},
		{"rate not a number", one(func(c *wire.Customer) { c.Rate = math.NaN() }), "customers[0].rate"},
		{"burst not finite", one(func(c *wire.Customer) { c.Burst = math.Inf(1) }), "customers[0].burst"},
		{"priority", one(func(c *wire.Customer) { c.Priority = proto.Uint32(10) }), "customers[0].priority"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			err := Validate(&wire.Content{Customers: c.list})
			var fields []string
			if e := new(InvalidError); errors.As(err, &e) {
				for _, f := range e.Faults {
					fields = append(fields, f.Field)
				}
			}
			if got := strings.Join(fields, " "); got != c.want {
				t.Errorf("fields: got %q, want %q", got, c.want)
			}
			if err != nil && strings.Contains(err.Error(), secret) {
				t.Errorf("error: got %v, want one without the key", err)
			}
		})
	}
}

// customerTable returns a table with the given customers.
func customerTable(t testing.TB, list ...*wire.Customer) *RoutingTable {
	var puts []Entry
	for _, c := range list {
		h := HashedCustomer(c)
		data, err := proto.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		puts = append(puts, Entry{Key: KeyOf(h), Value: data})
	}
	table, err := NewTable(NewSnapshot().With(1, puts, nil))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against a key that finds no customer or the wrong one, and against a missing priority that is read as the lowest.
func TestCustomerByKey(t *testing.T) {
	table := customerTable(t, customer("a", "a1", "a2"), &wire.Customer{Name: "b", Keys: []string{"b1"}, Priority: proto.Uint32(0), Rate: 2.5, Burst: 3})
	tests := []struct {
		key  string
		want string
	}{
		{"a1", "a -1 0 0"},
		{"a2", "a -1 0 0"},
		{"b1", "b 0 2.5 3"},
		{"A1", "none"},
		{"", "none"},
		{string(HashKey("a1")), "none"},
	}
	for _, c := range tests {
		got := "none"
		if found, ok := table.CustomerByKey(c.key); ok {
			got = fmt.Sprintf("%s %d %v %v", found.Name, found.Priority, found.Rate, found.Burst)
		}
		if got != c.want {
			t.Errorf("customer of %q: got %s, want %s", c.key, got, c.want)
		}
	}
	if empty := customerTable(t); !table.HasCustomers() || empty.HasCustomers() {
		t.Errorf("HasCustomers: got %v and %v, want true with customers and false without", table.HasCustomers(), empty.HasCustomers())
	}
}

func BenchmarkCustomerByKey(b *testing.B) {
	var list []*wire.Customer
	for i := range 5_000 {
		list = append(list, customer(fmt.Sprint("c", i), fmt.Sprintf("key-of-customer-%d-first", i), fmt.Sprintf("key-of-customer-%d-second", i)))
	}
	table := customerTable(b, list...)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.CustomerByKey("key-of-customer-4711-second"); !ok {
			b.Fatal("customer not found")
		}
	}
}
