package host

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/quota"
)

// Guards against a field that is lost or changed on the way, and against numbers that the coordinator cannot add up.
func TestQuotaMessages(t *testing.T) {
	r := quota.Request{Node: "n", Incarnation: 1 << 63, Number: 7, Seen: 6, Asks: []quota.Ask{
		{Customer: "a", Waiting: 1, Need: 2, Want: 3, Held: 4, Returned: 5, Rate: 1.5, Promised: 2.5, Total: 3.5}, {Customer: "b"},
	}}
	if got := coreQuotaRequest(quotaRequest(r)); !reflect.DeepEqual(got, r) {
		t.Errorf("request: got %+v, want %+v", got, r)
	}
	p := quota.Response{Term: 9, Leader: "r", Number: 8, Interval: 500 * time.Millisecond, Grants: []quota.Grant{
		{Customer: "a", Tokens: 6, Wait: 1250 * time.Microsecond, Scarce: true, Promised: 0.5, Total: 4.5, Sharing: 12, Room: true}, {Customer: "b"},
	}}
	if got := quotaResponse(rpcQuotaResponse(p)); !reflect.DeepEqual(got, p) {
		t.Errorf("response: got %+v, want %+v", got, p)
	}
	for _, f := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		if got := coreQuotaRequest(quotaRequest(quota.Request{Asks: []quota.Ask{{Rate: f, Held: -1}}})).Asks[0]; got.Rate != 0 || got.Held != 0 {
			t.Errorf("rate %v and -1 tokens: got %v and %d, want 0", f, got.Rate, got.Held)
		}
	}
	eight := quota.Request{Node: "host-031", Incarnation: 1 << 62, Number: 70_000, Seen: 70_000}
	answer := quota.Response{Term: 12, Leader: "10.0.0.1", Number: 70_000, Interval: 500 * time.Millisecond}
	for range 8 {
		eight.Asks = append(eight.Asks, quota.Ask{Customer: "customer-042", Waiting: 1, Need: 2, Want: 4, Held: 3, Rate: 4.2})
		answer.Grants = append(answer.Grants, quota.Grant{Customer: "customer-042", Tokens: 4, Promised: 4.2, Total: 40, Sharing: 12})
	}
	t.Logf("eight customers: request of %d bytes, response of %d", proto.Size(quotaRequest(eight)), proto.Size(rpcQuotaResponse(answer)))
}
