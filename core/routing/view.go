package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitspindle/core/config"
)

const (
	minSubset     = 8
	maxSubset     = 64
	defaultSubset = 16
)

type member struct {
	endpoint *config.Endpoint
	key      string
	state    *state
}

// view is the part of one service that this node uses, prepared so that a decision allocates nothing.
type view struct {
	service *config.Service
	members []member
	all     []int
	local   map[string][]int // failure domain to members
	own     *member          // beside this node; nil for none
}

// view returns the prepared view of a service and builds it when the service has changed.
func (p *Picker) view(s *config.Service, now int64) *view {
	if v := (*p.views.Load())[s.Name]; v != nil && v.service == s {
		return v
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	views := *p.views.Load()
	previous := views[s.Name]
	if previous != nil && previous.service == s {
		return previous
	}
	v := p.build(s, now, previous != nil)
	next := maps.Clone(views)
	next[s.Name] = v
	p.views.Store(&next)
	return v
}

// build prepares a view; endpoints of a service that was not known before count as warm, since nothing says otherwise.
func (p *Picker) build(s *config.Service, now int64, known bool) *view {
	v := &view{service: s, local: map[string][]int{}}
	own := -1
	for _, i := range p.choose(s) {
		e := &s.Endpoints[i]
		k := e.Key()
		n := len(v.members)
		v.members = append(v.members, member{endpoint: e, key: k, state: p.obtain(k, e.Incarnation, now, known)})
		v.all = append(v.all, n)
		if p.node != "" && e.Node == p.node {
			own = n
		}
		v.local[e.Domain] = append(v.local[e.Domain], n)
	}
	if own >= 0 {
		v.own = &v.members[own]
	}
	return v
}

// choose returns the indexes of the endpoints that this node uses: all of a small service, else the highest by
// rendezvous hash of node and endpoint (Thaler and Ravishankar, 1998), half of them from the own failure domain. An endpoint
// beside this node is always among them.
func (p *Picker) choose(s *config.Service) []int {
	order := make([]int, len(s.Endpoints))
	for i := range order {
		order[i] = i
	}
	if p.node == "" || len(order) <= p.subset {
		return order
	}
	weights := make([]uint64, len(order))
	for i := range s.Endpoints {
		weights[i] = xxhash.Sum64String(p.node + "\x00" + s.Endpoints[i].Key())
		if s.Endpoints[i].Node == p.node {
			weights[i] = math.MaxUint64
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	near := make([]int, 0, len(order))
	far := make([]int, 0, len(order))
	for _, i := range order {
		if s.Endpoints[i].Domain == p.domain && len(near) < p.subset/2 {
			near = append(near, i)
			continue
		}
		far = append(far, i)
	}
	return append(near, far[:p.subset-len(near)]...)
}
