package retry

import "sync"

// maxServices bounds the services whose retries are counted.
const maxServices = 4096

// Budgets holds a budget for each service, so that the retries of one do not use up those of others or exceed its own.
type Budgets struct {
	mutex     sync.Mutex
	options   []BudgetOption
	byService map[string]*Budget
}

// NewBudgets returns empty budgets that are made with the given options.
func NewBudgets(opts ...BudgetOption) *Budgets {
	return &Budgets{options: opts, byService: map[string]*Budget{}}
}

// Of returns the budget of a service.
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

// Share splits the retries that all nodes may make whatever their calls: each gets an equal part, rounded down, and the
// half that is kept back covers nodes that have just joined.
func Share(slack, nodes int) int64 { return int64(slack / 2 / max(nodes, 1)) }
