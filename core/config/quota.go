package config

// HasQuotas reports whether a customer has a quota.
func (t *RoutingTable) HasQuotas() bool {
	for _, c := range t.customers {
		if c.Rate > 0 {
			return true
		}
	}
	return false
}
