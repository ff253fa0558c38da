package config

import (
	"crypto/sha256"
	"fmt"
	"math"

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
	if b.sharesCustomers {
		return
	}
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

// ValidKey reports whether an API key may be part of a header: 1 to MaxKey bytes without blanks and control bytes.
func ValidKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return key != "" && len(key) <= MaxKey
}

// checkCustomers names the field and position of each fault, but never quotes a key.
func checkCustomers(f *faults, list []*wire.Customer) {
	keys := 0
	for _, c := range list {
		keys += len(c.GetKeys())
	}
	if len(list) > MaxCustomers || keys > MaxKeys {
		f.add("customers", "at most %d customers with %d keys together, not %d with %d", MaxCustomers, MaxKeys, len(list), keys)
		return
	}
	names := make(map[string]int, len(list))
	holders := make(map[string]string, keys)
	for i, c := range list {
		where := fmt.Sprintf("customers[%d]", i)
		if !ValidName(c.GetName()) {
			f.add(where+".name", expectedName)
		} else if first, repeated := names[c.GetName()]; repeated {
			f.add(where+".name", "a unique name, not that of customers[%d]", first)
		} else {
			names[c.GetName()] = i
		}
		checkKeys(f, where, c, holders)
		checkQuota(f, where+".rate", c.GetRate())
		checkQuota(f, where+".burst", c.GetBurst())
		f.checkMaximum(where+".priority", c.GetPriority(), MaxPriority)
	}
}

// checkKeys checks the keys of one customer, which has none once all were withdrawn; holders maps each key of earlier customers to its
// position.
func checkKeys(f *faults, where string, c *wire.Customer, holders map[string]string) {
	if len(c.GetDigests()) > 0 {
		f.add(where+".digests", "none; they are computed from the keys")
	}
	for i, k := range c.GetKeys() {
		field := fmt.Sprintf("%s.keys[%d]", where, i)
		if !ValidKey(k) {
			f.add(field, "1 to %d bytes without blanks and control bytes", MaxKey)
			continue
		}
		if first, repeated := holders[k]; repeated {
			f.add(field, "a key that is not also %s", first)
			continue
		}
		holders[k] = field
	}
}

func checkQuota(f *faults, field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		f.add(field, "a finite number of 0 or more")
	}
}
