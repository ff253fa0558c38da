package config

import (
	"crypto/sha256"

	"godwitspindle/core/wire"
)

// Customer holds API keys and may have a quota.
type Customer struct {
	Name     string
	Priority int     // replaces the priority of a route; -1 if the customer has none
	Rate     float64 // requests per second over all nodes; 0 for no quota
	Burst    float64 // requests above the rate that may be sent at once
}

// keyDigest identifies an API key in memory, so that a table does not hold the keys themselves.
type keyDigest [sha256.Size]byte

// HashKey returns the digest by which snapshots and tables identify an API key.
func HashKey(key string) []byte {
	d := sha256.Sum256([]byte(key))
	return d[:]
}

// HashedCustomer returns the entry of a snapshot for a customer, which holds digests in place of the keys.
func HashedCustomer(c *wire.Customer) *wire.Customer {
	n := &wire.Customer{Name: c.GetName(), Priority: c.Priority, Rate: c.GetRate(), Burst: c.GetBurst()}
	for _, k := range c.GetKeys() {
		n.Digests = append(n.Digests, HashKey(k))
	}
	return n
}

func (b *builder) addCustomer(m *wire.Customer) {
	c := &Customer{Name: m.GetName(), Priority: -1, Rate: m.GetRate(), Burst: m.GetBurst()}
	if m.Priority != nil {
		c.Priority = int(m.GetPriority())
	}
	if b.customers == nil {
		b.customers, b.keys = make(map[string]*Customer), make(map[keyDigest]*Customer)
	}
	b.customers[c.Name] = c
	for _, d := range m.GetDigests() {
		if len(d) == sha256.Size {
			b.keys[keyDigest(d)] = c
		}
	}
}

// HasCustomers reports whether the table has customers, so that requests need an API key.
func (t *RoutingTable) HasCustomers() bool { return len(t.customers) > 0 }

// Customer returns the customer with a name; callers must not modify it.
func (t *RoutingTable) Customer(name string) (*Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}

// CustomerByKey returns the customer that holds an API key; callers must not modify it.
func (t *RoutingTable) CustomerByKey(key string) (*Customer, bool) {
	c, ok := t.keys[sha256.Sum256([]byte(key))]
	return c, ok
}
