package caller

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// knownCustomers is a set of customers by key.
type knownCustomers map[string]*config.Customer

func (k knownCustomers) HasCustomers() bool { return len(k) > 0 }

func (k knownCustomers) CustomerByKey(key string) (*config.Customer, bool) {
	c, ok := k[key]
	return c, ok
}

func (k knownCustomers) Customer(name string) (*config.Customer, bool) {
	for _, c := range k {
		if c.Name == name {
			return c, true
		}
	}
	return nil, false
}

// secretKey is the valid key of these tests; no text, log line or header that leaves the handler may contain it.
const secretKey = "secret-key-1"

// sentRequest is what a handler sent to its endpoint.
type sentRequest struct {
	meta    hop.Meta
	header  http.Header
	trailer http.Header
	body    string
}

// newKeyed returns a handler of a configuration with the given customers, and the requests that it sends.
func newKeyed(customers Customers, public, local bool, opts ...Option) (*Handler, *[]sentRequest) {
	var sent []sentRequest
	route := &config.Route{Name: "r", Service: "s", Idempotent: true, Deadline: 10 * time.Second, Priority: 4, Public: public}
	return New(append([]Option{
		WithLocalCalls(local),
		WithMatch(func(string, string, string) (Match, *outcome.Failure) {
			return Match{Route: route, Service: &config.Service{Name: "s"}, Customers: customers}, nil
		}),
		WithPick(func(PickRequest) (config.Endpoint, string, error) {
			return config.Endpoint{Service: "s", Name: "e"}, "only", nil
		}),
		WithSend(func(_ context.Context, _ config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
			var body []byte
			if r.Body != nil {
				body, _ = io.ReadAll(r.Body)
			}
			sent = append(sent, sentRequest{meta: m, header: r.Header, trailer: r.Trailer, body: string(body)})
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
		}),
		WithNested(func(r *http.Request) bool { return strings.Contains(r.Header.Get("Id"), ".") }),
	}, opts...)...), &sent
}

// authenticateCase is one request to a handler; the configuration has no customers if nobody is set.
type authenticateCase struct {
	name  string
	given given
	want  string // status, code, customer and priority
}

type given struct {
	public, local, nobody bool
	unconfirmed           bool
	headers               []string
}

func authenticateCases() []authenticateCase {
	parent := func(customer string) string {
		return Context{Depth: 1, Deadline: time.Now().Add(time.Second), Budget: 1, Customer: customer}.String()
	}
	return []authenticateCase{
		{"known key", given{headers: []string{"Authorization", "Bearer " + secretKey}}, "200  acme 8"},
		{"scheme in another case", given{headers: []string{"Authorization", "bEARER " + secretKey}}, "200  acme 8"},
		{"key of a customer without a priority", given{headers: []string{"Authorization", "Bearer other-key"}}, "200  plain 4"},
		{"no key", given{}, "401 unauthorized"},
		{"unknown key", given{headers: []string{"Authorization", "Bearer " + secretKey + "x"}}, "401 unauthorized"},
		{"empty", given{headers: []string{"Authorization", ""}}, "401 unauthorized"},
		{"no scheme", given{headers: []string{"Authorization", secretKey}}, "401 unauthorized"},
		{"other scheme", given{headers: []string{"Authorization", "Basic " + secretKey}}, "401 unauthorized"},
		{"scheme only", given{headers: []string{"Authorization", "Bearer "}}, "401 unauthorized"},
		{"two keys in one", given{headers: []string{"Authorization", "Bearer " + secretKey + ", Bearer " + secretKey}}, "401 unauthorized"},
		{"repeated", given{headers: []string{"Authorization", "Bearer " + secretKey, "Authorization", "Bearer " + secretKey}}, "401 unauthorized"},
		{"long key", given{headers: []string{"Authorization", "Bearer " + strings.Repeat("x", 300)}}, "401 unauthorized"},
		{"named in Connection", given{headers: []string{"Authorization", "Bearer " + secretKey, "Connection", "authorization"}}, "200  acme 8"},
		{"public without a key", given{public: true}, "200   4"},
		{"public with a known key", given{public: true, headers: []string{"Authorization", "Bearer " + secretKey}}, "200  acme 8"},
		{"public with an unknown key", given{public: true, headers: []string{"Authorization", "Bearer " + secretKey + "x"}}, "200   4"},
		{"public with a repeated key", given{public: true, headers: []string{"Authorization", "Bearer " + secretKey, "Authorization", "Bearer " + secretKey}}, "200   4"},
		{"nested", given{local: true, headers: []string{HeaderContext, parent("acme")}}, "200  acme 8"},
		{"nested with another key", given{local: true, headers: []string{HeaderContext, parent("acme"), "Authorization", "Bearer other-key"}}, "200  acme 8"},
		{"nested for a customer that has left", given{local: true, headers: []string{HeaderContext, parent("gone")}}, "200  gone 4"},
		{"nested for a public request", given{local: true, headers: []string{HeaderContext, parent("")}}, "200   4"},
		{"context that a caller made up", given{headers: []string{HeaderContext, parent("acme")}}, "401 unauthorized"},
		{"customer that a caller made up", given{public: true, headers: []string{"Mesh-Customer", "acme"}}, "200   4"},
		{"parent not known", given{headers: []string{"Id", "a.1"}}, "503 orphaned"},
		{"parent not known, with a key", given{headers: []string{"Id", "a.1", "Authorization", "Bearer " + secretKey}}, "200  acme 8"},
		{"parent not known, with an unknown key", given{headers: []string{"Id", "a.1", "Authorization", "Bearer x"}}, "401 unauthorized"},
		{"parent not known, public", given{public: true, headers: []string{"Id", "a.1"}}, "200   4"},
		{"not confirmed", given{unconfirmed: true, headers: []string{"Authorization", "Bearer " + secretKey}}, "503 unproven"},
		{"not confirmed, without a key", given{unconfirmed: true}, "503 unproven"},
		{"not confirmed, public", given{unconfirmed: true, public: true, headers: []string{"Authorization", "Bearer " + secretKey}}, "200   4"},
		{"not confirmed, nested", given{unconfirmed: true, local: true, headers: []string{HeaderContext, parent("acme")}}, "200  acme 8"},
		{"not confirmed, no customers", given{unconfirmed: true, nobody: true}, "200   4"},
		{"no customers", given{nobody: true}, "200   4"},
		{"no customers, with a key", given{nobody: true, headers: []string{"Authorization", "Bearer free"}}, "200   4"},
		{"no customers, parent not known", given{nobody: true, headers: []string{"Id", "a.1"}}, "200   4"},
	}
}

// Guards against a request that is served without a valid key, one that is refused although it needs none, a customer that is not the
// key's or the parent's, and a key that leaves the handler in a header, a problem or a log line.
func TestAuthenticate(t *testing.T) {
	customers := knownCustomers{secretKey: {Name: "acme", Priority: 8}, "other-key": {Name: "plain", Priority: -1}}
	for _, c := range authenticateCases() {
		t.Run(c.name, func(t *testing.T) {
			set := customers
			if c.given.nobody {
				set = nil
			}
			var out lines
			h, sent := newKeyed(set, c.given.public, c.given.local, WithLog(logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)), func() bool { return true }))
			found := h.match
			h.match = func(host, path, method string) (Match, *outcome.Failure) {
				m, f := found(host, path, method)
				m.Unconfirmed = c.given.unconfirmed
				return m, f
			}
			r := httptest.NewRequest("GET", "/x", strings.NewReader("body"))
			for i := 0; i < len(c.given.headers); i += 2 {
				r.Header.Add(c.given.headers[i], c.given.headers[i+1])
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			got := strings.TrimSpace(strings.Join([]string{strconv.Itoa(w.Code), w.Header().Get(outcome.HeaderCode)}, " "))
			if w.Code == http.StatusOK {
				m := (*sent)[0].meta
				got = strings.Join([]string{strconv.Itoa(w.Code), w.Header().Get(outcome.HeaderCode), m.Customer, strconv.Itoa(m.Priority)}, " ")
			}
			if got != c.want {
				t.Fatalf("got %q, want %q; body %s", got, c.want, w.Body)
			}
			wantChallenge := ""
			if w.Code == http.StatusUnauthorized {
				wantChallenge = "Bearer"
			}
			if challenge := w.Header().Get("WWW-Authenticate"); challenge != wantChallenge {
				t.Errorf("WWW-Authenticate: got %q, want %q", challenge, wantChallenge)
			}
			if w.Code != http.StatusOK && (len(*sent) > 0 || w.Header().Get(outcome.HeaderOutcome) != string(outcome.NotRun)) {
				t.Errorf("refusal: got %d attempts and outcome %q, want none and %q", len(*sent), w.Header().Get(outcome.HeaderOutcome), outcome.NotRun)
			}
			for _, s := range *sent {
				if got := s.header.Get("Authorization"); c.given.nobody != (got != "") && len(c.given.headers) > 0 && c.given.headers[0] == "Authorization" {
					t.Errorf("Authorization at the endpoint: got %q, want it only without customers", got)
				}
			}
			if strings.Contains(out.all.String()+w.Body.String(), secretKey) || strings.Contains(out.all.String()+w.Body.String(), "other-key") {
				t.Errorf("log and answer: got %s%s, want no key", out.all.String(), w.Body)
			}
			if named := strings.Contains(out.all.String(), `"customer":"`); named != (len(*sent) > 0 && (*sent)[0].meta.Customer != "") {
				t.Errorf("log: got %s, want the customer's name if there is one", out.all.String())
			}
		})
	}
}

// Guards against a key that reaches a backend server in a trailer, with a small body and with one that is passed on while it is read.
func TestKeyInTrailer(t *testing.T) {
	for _, size := range []int{10, 200 << 10} {
		h, sent := newKeyed(knownCustomers{secretKey: {Name: "acme", Priority: -1}}, false, false)
		s := httptest.NewServer(h)
		r, err := http.NewRequest("POST", s.URL, io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+secretKey)
		r.Trailer = http.Header{"Authorization": {"Bearer " + secretKey}, "Sum": {"1"}}
		p, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
		s.Close()
		if len(*sent) != 1 || len((*sent)[0].body) != size {
			t.Fatalf("sent: got %d requests, want one with %d bytes", len(*sent), size)
		}
		if got := (*sent)[0].trailer; got.Get("Authorization") != "" || got.Get("Sum") != "1" {
			t.Errorf("trailers with %d bytes: got %v, want Sum only", size, got)
		}
	}
}

// Guards against one customer that gets the stored answer to another customer's request with the same idempotency key.
func TestIdempotencyKeysOfCustomers(t *testing.T) {
	var routes []string
	customers := knownCustomers{secretKey: {Name: "acme", Priority: -1}, "other-key": {Name: "plain", Priority: -1}}
	route := &config.Route{Name: "r", Service: "s", Deadline: 10 * time.Second, Public: true}
	h, _ := newKeyed(customers, true, false,
		WithMatch(func(string, string, string) (Match, *outcome.Failure) {
			return Match{Route: route, Service: &config.Service{Name: "s"}, Customers: customers}, nil
		}),
		WithClaim(
			func(_ context.Context, c Claim) (ClaimAnswer, error) {
				routes = append(routes, c.Route+" "+c.Key)
				return ClaimAnswer{State: Granted}, nil
			},
			func(context.Context, Claim, *Answer) error { return nil },
			func(context.Context, Claim) error { return nil },
		))
	for _, key := range []string{secretKey, "other-key", ""} {
		r := httptest.NewRequest("POST", "/x", nil)
		r.Header.Set("Idempotency-Key", "k")
		if key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	if got, want := strings.Join(routes, ", "), "r/acme k, r/plain k, r k"; got != want {
		t.Errorf("claims: got %s, want %s", got, want)
	}
}

// Guards against a context of an earlier version that is refused, and against a customer that is lost or made up.
func TestContextVersions(t *testing.T) {
	tests := []struct {
		value string
		want  string // customer, or error
	}{
		{"1.2.1700000000000.1", ""},
		{"2.2.1700000000000.1..acme", "acme"},
		{"2.2.1700000000000.1.Yy0x.acme", "acme"},
		{"2.2.1700000000000.1.Yy0x.", ""},
		{"2.2.1700000000000.1..acme.eu-1", "acme.eu-1"},
		{"1.2.1700000000000.1..acme", "error"},
		{"2.2.1700000000000.1", "error"},
		{"2.2.1700000000000.1.acme", "error"},
		{"2.2.1700000000000.1..", "error"},
		{"2.2.1700000000000.1..a b", "error"},
		{"2.2.1700000000000.1.!.acme", "error"},
		{"3.2.1700000000000.1..acme", "error"},
		{"", "error"},
	}
	for _, c := range tests {
		parsed, err := ParseContext(c.value)
		got := parsed.Customer
		if err != nil {
			got = "error"
		}
		if got != c.want || err == nil && parsed.String() != c.value {
			t.Errorf("%q: got %q, %s, %v, want %q and the same text", c.value, got, parsed, err, c.want)
		}
	}
}

// Guards against a caller that states a customer in a trailer, which a backend server may take for a header.
func TestForgedTrailer(t *testing.T) {
	h, sent := newKeyed(knownCustomers{secretKey: {Name: "acme", Priority: -1}}, false, false)
	s := httptest.NewServer(h)
	defer s.Close()
	r, _ := http.NewRequest(http.MethodPost, s.URL, io.NopCloser(strings.NewReader("body")))
	r.Header.Set("Authorization", "Bearer "+secretKey)
	r.Trailer = http.Header{"Mesh-Customer": {"plain"}, "Sum": {"1"}}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	if got := (*sent)[0].trailer; len(got["Mesh-Customer"]) > 0 || got.Get("Sum") != "1" {
		t.Errorf("got trailer %v, want only Sum", got)
	}
}
