package retry

import "sync"

// maxServices is the maximum number of budgets; one more service resets all of them.
const maxServices = 4096

// Budgets holds one budget per service, so that the retries of one service do not use up the budget of another.
type Budgets struct {
	mutex     sync.Mutex
	options   []BudgetOption
	byService map[string]*Budget
}

// NewBudgets returns a Budgets that creates each budget with the given options.
func NewBudgets(opts ...BudgetOption) *Budgets {
	return &Budgets{options: opts, byService: map[string]*Budget{}}
}

// Of returns the budget of a service and creates it on first use.
func (b *Budgets) Of(service string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	k := b.byService[service]
	if k == nil {
		if len(b.byService) >= maxServices {
			clear(b.byService)
		}
		k = NewBudget(b.options...)
		b.byService[service] = k
	}
	return k
}

// SlackPerNode returns the number of retries that each node may make regardless of its calls: an equal part of half the slack,
// rounded down. The other half covers nodes that have just joined.
func SlackPerNode(slack, nodes int) int64 { return int64(slack / 2 / max(nodes, 1)) }
