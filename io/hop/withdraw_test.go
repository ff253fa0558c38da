package hop

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
)

// Guards against a withdrawal that names other calls than the sender meant, that is larger than the receiver reads, or that loses
// calls when they do not fit in one message.
func TestWithdrawalRoundTrip(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes)
	for _, c := range []struct {
		name     string
		calls    []Withdrawn
		messages int
	}{
		{"none", nil, 0},
		{"one", []Withdrawn{{"counter/a", "c1"}}, 1},
		{"several", slices.Repeat([]Withdrawn{{"counter/a", "31434b15722411c9"}}, 2000), 2},
		{"long names", slices.Repeat([]Withdrawn{{long + "/" + long, long}}, 100), 3},
	} {
		messages := encodeWithdrawals(c.calls)
		if len(messages) != c.messages {
			t.Errorf("%s: got %d messages, want %d", c.name, len(messages), c.messages)
		}
		var got []Withdrawn
		for _, m := range messages {
			calls, err := decodeWithdrawal(m)
			if err != nil || len(m) > maxWithdrawalBytes {
				t.Errorf("%s: got a message of %d bytes and error %v, want at most %d and none", c.name, len(m), err, maxWithdrawalBytes)
			}
			got = append(got, calls...)
		}
		if !slices.Equal(got, c.calls) {
			t.Errorf("%s: got %d calls decoded, want the %d that were encoded", c.name, len(got), len(c.calls))
		}
	}
	odd := []Withdrawn{{"counter", "c1"}, {"counter/a", ""}, {"counter/a", "c 1"}, {"counter/a", "c\n1"}, {"counter/" + long + "x", "c1"}}
	if got := encodeWithdrawals(odd); len(got) != 0 {
		t.Errorf("names that no call may have: got messages %q, want none", got)
	}
}

// Guards against a call that waits for a connection to its peer until the notice of a planned stop has ended, and is sent although too
// little time is left.
func TestStopWhileDialing(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration // of the call; the stop ends after 3 s
		code     outcome.Code  // empty if the call is sent
	}{
		{"deadline fits", 2 * time.Second, ""},
		{"deadline beyond the end", 8 * time.Second, outcome.Draining},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := 0
			address := serve(t, NewServer(WithDo(func(context.Context, Meta, *http.Request) (*http.Response, error) {
				served++
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
			})))
			stop := shutdown.New(shutdown.WithNotice(0), shutdown.WithGrace(3*time.Second))
			client := New(WithStop(stop.Decide), WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				stop.Begin(time.Now())
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}))
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			p, err := client.Call(ctx, address, testMeta("c"), request("POST", "/", ""))
			if err == nil {
				_ = p.Body.Close()
			}
			if c.code == "" && (err != nil || served != 1) {
				t.Errorf("got error %v and %d calls served, want none and 1", err, served)
			}
			if c.code != "" && (err == nil || AsFailure(err, "").Code != c.code || AsFailure(err, "").Kind != outcome.NotRun || served != 0) {
				t.Errorf("got error %v and %d calls served, want %s (notrun) and 0", err, served, c.code)
			}
		})
	}
}

// Guards against a malformed withdrawal that withdraws some of the calls.
func TestWithdrawalMalformed(t *testing.T) {
	const valid = "counter/a c1\n"
	for _, message := range []string{"\n", "counter/a\n", "counter c1\n", "counter/a c1", "counter/a c1 c2\n", "counter/a c1\r\n", " \n"} {
		if got, err := decodeWithdrawal(valid + message); err == nil || got != nil {
			t.Errorf("%q: got %v and error %v, want none and an error", message, got, err)
		}
	}
}

// Guards against a withdrawal without the shared key that takes effect, against one of more than the bound, and against harm at a node
// that does not know the message.
func TestWithdraw(t *testing.T) {
	var got []Withdrawn
	withdraw := WithWithdraw(func(calls []Withdrawn) int {
		got = append(got, calls...)
		return len(calls) - 1
	})
	calls := []Withdrawn{{"counter/a", "c1"}, {"counter/b", "c2"}}
	for _, c := range []struct {
		name, key string
		server    []ServerOption
		withdrawn int
		taken     []Withdrawn
		code      outcome.Code
	}{
		{"with the key", "k", []ServerOption{WithServerKey("k"), withdraw}, 1, calls, ""},
		{"without key on both sides", "", []ServerOption{withdraw}, 1, calls, ""},
		{"with another key", "other", []ServerOption{WithServerKey("k"), withdraw}, 0, nil, outcome.Refused},
		{"to a node that does not know it", "k", []ServerOption{WithServerKey("k")}, 0, nil, outcome.Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			got = nil
			address := serve(t, NewServer(c.server...))
			client := New(WithKey(c.key))
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			n, err := client.Withdraw(ctx, address, calls)
			if n != c.withdrawn || !slices.Equal(got, c.taken) {
				t.Errorf("got %d withdrawn of %v, want %d of %v", n, got, c.withdrawn, c.taken)
			}
			if (err != nil) != (c.code != "") || err != nil && AsFailure(err, "").Code != c.code {
				t.Errorf("got error %v, want code %q", err, c.code)
			}
		})
	}
	t.Run("too large", func(t *testing.T) {
		got = nil
		address := serve(t, NewServer(withdraw))
		body := strings.Repeat("counter/a c1\n", maxWithdrawalBytes/13+1)
		p, err := http.Post(fmt.Sprintf("http://%s%s", address, withdrawPath), "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
		if p.StatusCode != http.StatusRequestEntityTooLarge || got != nil {
			t.Errorf("got status %d and %d calls taken, want 413 and none", p.StatusCode, len(got))
		}
	})
}
