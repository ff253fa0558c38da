package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitspindle/core/config"
)

// Limits and default of WithSubset, in endpoints.
const (
	minSubset     = 8
	maxSubset     = 64
	defaultSubset = 16
)

type candidate struct {
	endpoint *config.Endpoint
	key      string
	state    *state
}

// view holds the endpoints of one service and side that this node uses, indexed so that a decision allocates nothing.
type view struct {
	service    *config.Service
	candidates []candidate
	all        []int            // indexes of all candidates
	byDomain   map[string][]int // indexes of candidates by failure domain
	sameHost   *candidate       // candidate on the host of this node; nil for none
	load       *serviceLoad
}

// view returns the view of a service for a side; it builds a new view if the stored one was built from another *Service than s.
func (p *Picker) view(s *config.Service, side Side, now int64) *view {
	key := viewKey{s.Name, side}
	if v := (*p.views.Load())[key]; v != nil && v.service == s {
		return v
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	views := *p.views.Load()
	previous := views[key]
	if previous != nil && previous.service == s {
		return previous
	}
	v := p.buildView(s, side, now, previous != nil)
	next := maps.Clone(views)
	next[key] = v
	p.views.Store(&next)
	return v
}

// buildView builds a view. New endpoints begin with a slow start if cold is set. It is not set for a service that has no view yet,
// since nothing shows that its endpoints are cold.
func (p *Picker) buildView(s *config.Service, side Side, now int64, cold bool) *view {
	v := &view{service: s, byDomain: map[string][]int{}, load: p.serviceLoad(s.Name)}
	sameHost := -1
	for _, i := range p.selectEndpoints(s, side) {
		e := &s.Endpoints[i]
		k := e.Key()
		n := len(v.candidates)
		v.candidates = append(v.candidates, candidate{endpoint: e, key: k, state: p.ensureState(k, e.Incarnation, v.load, e.Domain, now, cold)})
		v.all = append(v.all, n)
		if p.node != "" && e.Node == p.node {
			sameHost = n
		}
		v.byDomain[e.Domain] = append(v.byDomain[e.Domain], n)
	}
	if sameHost >= 0 {
		v.sameHost = &v.candidates[sameHost]
	}
	return v
}

// selectEndpoints returns the indexes of the side's endpoints that this node uses: all of a small service or without a node name, else those
// with the highest rendezvous hash of node and endpoint (Thaler and Ravishankar, 1998), at least half of them in the node's failure
// domain if it has as many. An endpoint on the host of this node is always among them.
func (p *Picker) selectEndpoints(s *config.Service, side Side) []int {
	order := make([]int, 0, len(s.Endpoints))
	for i := range s.Endpoints {
		if side.includes(s, &s.Endpoints[i]) {
			order = append(order, i)
		}
	}
	if p.node == "" || len(order) <= p.subset {
		return order
	}
	weights := make([]uint64, len(s.Endpoints))
	for i := range s.Endpoints {
		weights[i] = xxhash.Sum64String(p.node + "\x00" + s.Endpoints[i].Key())
		if s.Endpoints[i].Node == p.node {
			weights[i] = math.MaxUint64
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	local := make([]int, 0, len(order))
	rest := make([]int, 0, len(order))
	for _, i := range order {
		if s.Endpoints[i].Domain == p.domain && len(local) < p.subset/2 {
			local = append(local, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(local, rest[:p.subset-len(local)]...)
}
