package host

import (
	"math"
	"time"

	"godwitspindle/core/quota"
	"godwitspindle/io/rpc"
)

func quotaRequest(r quota.Request) *rpc.QuotaRequest {
	m := &rpc.QuotaRequest{Node: r.Node, Incarnation: r.Incarnation, Number: r.Number, Seen: r.Seen}
	for _, a := range r.Asks {
		m.Asks = append(m.Asks, &rpc.QuotaAsk{
			Customer: a.Customer, Waiting: unsigned(a.Waiting), Need: unsigned(a.Need), Want: unsigned(a.Want), Held: unsigned(a.Held),
			Returned: unsigned(a.Returned), Rate: float32(a.Rate), Promised: float32(a.Promised), Total: float32(a.Total),
		})
	}
	return m
}

func coreQuotaRequest(m *rpc.QuotaRequest) quota.Request {
	r := quota.Request{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Number: m.GetNumber(), Seen: m.GetSeen()}
	for _, a := range m.GetAsks() {
		r.Asks = append(r.Asks, quota.Ask{
			Customer: a.GetCustomer(), Waiting: int(a.GetWaiting()), Need: int(a.GetNeed()), Want: int(a.GetWant()), Held: int(a.GetHeld()),
			Returned: int(a.GetReturned()), Rate: finite(a.GetRate()), Promised: finite(a.GetPromised()), Total: finite(a.GetTotal()),
		})
	}
	return r
}

func rpcQuotaResponse(p quota.Response) *rpc.QuotaResponse {
	m := &rpc.QuotaResponse{Term: p.Term, Leader: p.Leader, Number: p.Number, Interval: p.Interval.Milliseconds()}
	for _, g := range p.Grants {
		m.Grants = append(m.Grants, &rpc.QuotaGrant{
			Customer: g.Customer, Tokens: unsigned(g.Tokens), Wait: g.Wait.Microseconds(), Scarce: g.Scarce,
			Promised: float32(g.Promised), Total: float32(g.Total), Sharing: unsigned(g.Sharing), Room: g.Room,
		})
	}
	return m
}

func quotaResponse(m *rpc.QuotaResponse) quota.Response {
	p := quota.Response{
		Term: m.GetTerm(), Leader: m.GetLeader(), Number: m.GetNumber(), Interval: time.Duration(m.GetInterval()) * time.Millisecond,
	}
	for _, g := range m.GetGrants() {
		p.Grants = append(p.Grants, quota.Grant{
			Customer: g.GetCustomer(), Tokens: int(g.GetTokens()), Wait: time.Duration(g.GetWait()) * time.Microsecond, Scarce: g.GetScarce(),
			Promised: finite(g.GetPromised()), Total: finite(g.GetTotal()), Sharing: int(g.GetSharing()), Room: g.GetRoom(),
		})
	}
	return p
}

func unsigned(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

// finite returns a number of 0 or more, since a value that is not finite would spread through the sums of the coordinator.
func finite(f float32) float64 {
	if !(f >= 0 && f <= math.MaxFloat32) {
		return 0
	}
	return float64(f)
}
