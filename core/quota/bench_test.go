package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures a request that finds a token.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	limit := Limit{1e9, 1e9}
	l := NewLocal("n", 1)
	l.Take(now, "a", limit)
	l.Ask(now, "r")
	l.Answer(now, "r", Response{Term: 1, Number: 1, Grants: []Grant{{Customer: "a", Tokens: 1 << 30}}})
	b.ReportAllocs()
	for b.Loop() {
		if v, _ := l.Take(now, "a", limit); !v.Granted {
			b.Fatal("got no token")
		}
	}
}

// BenchmarkDecide measures a request of a node to the coordinator, with some customers active at the node and each of these at many.
func BenchmarkDecide(b *testing.B) {
	for _, nodes := range []int{65, 300, 2100} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := NewCoordinator(func(string) (Limit, bool) { return Limit{1e6, 1e6}, true })
			s := Standing{Leads: true, Term: 1, Nodes: nodes}
			requests := make([]Request, nodes)
			for i := range requests {
				requests[i] = Request{Node: fmt.Sprint("n", i), Incarnation: 1}
				for k := range 8 { // each customer is active at a third of the nodes
					a := Ask{Customer: fmt.Sprint("customer-", (i+k)%24), Waiting: 1, Need: 2, Want: 4, Held: 2, Rate: 4}
					requests[i].Asks = append(requests[i].Asks, a)
				}
			}
			i := 0
			decide := func() {
				r := &requests[i%nodes]
				r.Number++
				now = now.Add(2 * time.Second / time.Duration(nodes))
				r.Seen = c.Decide(now, s, *r).Number
				i++
			}
			for range nodes {
				decide()
			}
			b.ReportAllocs()
			for b.Loop() {
				decide()
			}
		})
	}
}
