package backend

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Guards against an odd announcement that ends the process, changes an endpoint, or makes later announcements of the endpoint
// count as late, so that its lease ends.
func TestOddAnnouncements(t *testing.T) {
	const good = `{"service":"s","endpoint":"e","address":"127.0.0.1:80","slots":2,"connections":1,"load":0.5,"incarnation":7,"sequence":5}`
	replace := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	tests := map[string]string{
		"deeply nested list":         strings.Repeat("[", 4000),
		"deeply nested field":        replace(`2`, strings.Repeat(`{"a":`, 700)+"1"+strings.Repeat("}", 700)),
		"unreadable bytes":           "\x00\xff\xfe{",
		"empty":                      "",
		"null":                       "null",
		"a list":                     "[]",
		"cut":                        good[:40],
		"fields missing":             "{}",
		"number too large":           replace(`"slots":2`, `"slots":1e400`),
		"slots out of range":         replace(`"slots":2`, `"slots":100001`),
		"slots as a fraction":        replace(`"slots":2`, `"slots":1.5`),
		"slots as text":              replace(`"slots":2`, `"slots":"2"`),
		"connections beyond 64 bits": replace(`"connections":1`, `"connections":99999999999999999999`),
		"load too large":             replace("0.5", "1e308"),
		"load as a list":             replace("0.5", "[0.5]"),
		"port too large":             replace(":80", ":65536"),
		"port negative":              replace(":80", ":-1"),
		"port as a fraction":         replace(":80", ":80.5"),
		"port zero":                  replace(":80", ":0"),
		"port missing":               replace(":80", ""),
		"address as a number":        replace(`"127.0.0.1:80"`, "80"),
		"address null":               replace(`"127.0.0.1:80"`, "null"),
		"name in upper case":         replace(`"e"`, `"E"`),
		"name with a dash in front":  replace(`"e"`, `"-e"`),
		"service in upper case":      replace(`"s"`, `"S"`),
		"incarnation negative":       replace(`"incarnation":7`, `"incarnation":-1`),
		"incarnation too large":      replace(`"incarnation":7`, `"incarnation":18446744073709551615`),
		"sequence too large":         replace(`"sequence":5`, `"sequence":18446744073709551615`),
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := New(WithNow(func() time.Time { return now }))
			defer func() { _ = b.Close() }()
			post := func(body string) int {
				w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/announce", strings.NewReader(body))
				r.RemoteAddr = "127.0.0.1:5"
				b.Handler().ServeHTTP(w, r)
				return w.Code
			}
			if got := post(good); got != 200 {
				t.Fatalf("announcement: got %d, want 200", got)
			}
			if got := post(odd); got != 400 {
				t.Errorf("odd announcement: got %d, want 400", got)
			}
			if got := post(replace(`"sequence":5`, `"sequence":6`)); got != 200 {
				t.Errorf("next announcement: got %d, want 200", got)
			}
			want := Announcement{
				Service: "s", Endpoint: "e", Address: netip.MustParseAddrPort("127.0.0.1:80"), Slots: 2, Connections: 1, Load: 0.5, Incarnation: 7, Sequence: 6,
			}
			if got := b.Endpoints(); len(got) != 1 || got[0] != want {
				t.Errorf("endpoints: got %+v, want %+v", got, want)
			}
		})
	}
}
