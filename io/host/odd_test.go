package host

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/lease"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// oddEndpoint returns an endpoint of the node "odd" with some fields changed.
func oddEndpoint(number int, change func(e *wire.Endpoint)) *wire.Endpoint {
	e := &wire.Endpoint{Service: "a", Name: fmt.Sprint("odd-", number), Node: "odd", Slots: 1, Connections: 1}
	change(e)
	return e
}

// Guards against odd endpoints in the announcement of a node that change other entries, or that count for the guard against mass
// expiry, so that it lets more than half of the usable endpoints go.
func TestOddEndpointsAnnounced(t *testing.T) {
	for name, change := range map[string]func(e *wire.Endpoint){
		"too many slots":       func(e *wire.Endpoint) { e.Slots = math.MaxUint32 },
		"too many connections": func(e *wire.Endpoint) { e.Connections = math.MaxUint32 },
		"name with a line end": func(e *wire.Endpoint) { e.Name += "\n" },
		"no name":              func(e *wire.Endpoint) { e.Name = "" },
		"node missing":         func(e *wire.Endpoint) { e.Node = "" },
		"another node":         func(e *wire.Endpoint) { e.Name, e.Node, e.Slots = "e-0", "n-0", 9 },
	} {
		t.Run(name, func(t *testing.T) {
			const usable, period = 4, 10 * time.Second
			now := time.Unix(1000, 0)
			s, leases := store.New(), lease.New(lease.WithLease(period), lease.WithWindow(0))
			s.Apply(1, &wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
				Id: "1", Author: "ann", Reason: "test", Body: &wire.Change_Register{Register: &wire.Register{Services: []*wire.Service{{Name: "a", Slots: 1, Connections: 1}}}},
			}}})
			leases.Reset(now, nil, nil)
			announce := func(r *rpc.AnnounceRequest) {
				if _, _, err := stageAnnouncement(leases, now, r); err != nil {
					t.Fatal(err)
				}
				if m := leases.Next(now); m != nil {
					s.Apply(s.Index()+1, &wire.Command{Body: &wire.Command_Membership{Membership: m}})
					leases.Applied(now, m)
				}
			}
			for i := range usable {
				n := &wire.Node{Name: fmt.Sprint("n-", i), Address: fmt.Sprint("127.0.0.1:", i+1)}
				announce(&rpc.AnnounceRequest{Node: n, Endpoints: []*wire.Endpoint{{Service: "a", Name: fmt.Sprint("e-", i), Node: n.GetName(), Slots: 1, Connections: 1}}})
			}
			odd := &rpc.AnnounceRequest{Node: &wire.Node{Name: "odd", Address: "127.0.0.1:99"}}
			for i := range 40 {
				odd.Endpoints = append(odd.Endpoints, oddEndpoint(i, change))
			}
			announce(odd)
			table, err := config.NewTable(s.Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			a, _ := table.Service("a")
			for i, e := range a.Endpoints {
				if e.Name != fmt.Sprint("e-", i) || e.Slots != 1 || len(a.Endpoints) != usable {
					t.Fatalf("endpoints: got %v, want e-0 to e-3 with 1 slot", a.Endpoints)
				}
			}
			gone := 0
			for range 10 {
				now = now.Add(2 * period)
				leases.Renew(now, "odd", nil)
				for _, e := range leases.Expire(now) {
					if e.Endpoint != "" {
						gone++
					}
				}
			}
			if gone > usable/2 {
				t.Errorf("expired endpoints: got %d of %d, want at most half", gone, usable)
			}
		})
	}
}

// Guards against an announcement of a node that cannot be used and that is put into the log, where it may evict a usable node.
func TestOddNodesAnnounced(t *testing.T) {
	for _, c := range []struct {
		name string
		r    *rpc.AnnounceRequest
		want bool // refused
	}{
		{"no node", &rpc.AnnounceRequest{}, true},
		{"no name", &rpc.AnnounceRequest{Node: &wire.Node{Address: "127.0.0.1:1"}}, true},
		{"no address", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n"}}, true},
		{"port 0", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n", Address: "127.0.0.1:0"}}, true},
		{"port out of range", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n", Address: "127.0.0.1:65536"}}, true},
		{"negative port", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n", Address: "127.0.0.1:-1"}}, true},
		{"odd region", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n", Address: "127.0.0.1:1", Region: "a b"}}, true},
		{"leave of an exact process by name", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n@1"}, Leaving: true}, true},
		{"leave without address", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n"}, Leaving: true}, false},
		{"usable", &rpc.AnnounceRequest{Node: &wire.Node{Name: "n", Address: "127.0.0.1:1"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			leases := lease.New()
			leases.Reset(time.Now(), nil, nil)
			staged, _, err := stageAnnouncement(leases, time.Now(), c.r)
			var refused *AnnouncementError
			if got := errors.As(err, &refused); got != c.want || staged == c.want {
				t.Errorf("got %v, staged %v, want refused %v", err, staged, c.want)
			}
		})
	}
}
