package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the client.
const (
	clientTime   = 20 * time.Second       // for one operation with all its attempts
	attemptTime  = 7 * time.Second        // over the server's answerTime, so that its answer is preferred to a guess
	firstPause   = 100 * time.Millisecond // between rounds over all addresses, doubled each time
	longestPause = 2 * time.Second
	refusedMost  = 3        // rounds in which no address takes a connection
	answerBytes  = 16 << 20 // longest answer that is read
	statusPath   = "/v1/status"
)

// UnreachableError says that no address gave an answer.
type UnreachableError struct {
	Addresses []netip.AddrPort
	Outcome   string // of a change: NotRun or Unknown
	Err       error  // of the last attempt
}

// Error names the addresses and what is known about the change.
func (e *UnreachableError) Error() string {
	names := make([]string, len(e.Addresses))
	for i, a := range e.Addresses {
		names[i] = a.String()
	}
	if p, ok := errors.AsType[*Problem](e.Err); ok {
		return fmt.Sprintf("%s, as a node at %s says (outcome %s)", p.Error(), strings.Join(names, ", "), e.Outcome)
	}
	return fmt.Sprintf("no answer from %s (outcome %s): %v", strings.Join(names, ", "), e.Outcome, e.Err)
}

// Problem returns the failure with what to do next.
func (e *UnreachableError) Problem() *Problem {
	p := &Problem{
		Title: "no node answered", Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Outcome: e.Outcome, Detail: e.Error(),
		Next: "pass --at with listen.operator of a replica, one for each; by default that is 127.0.0.1:7004 on the hosts that the " +
			"setting replicas names, and other nodes have no such listener",
	}
	if t, ok := errors.AsType[*Problem](e.Err); ok {
		p.Title, p.Next = t.Title, t.Next
	}
	return p
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError reports an answer that does not come from a node of this project.
type AnswerError struct {
	Status int
	Err    error
}

// Error shows the status.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with status %d not understood: %v", e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// Client calls the operators' listeners of one mesh.
type Client struct {
	addresses []netip.AddrPort
	key       string
	scheme    string
	http      *http.Client
	timeout   time.Duration
}

// ClientOption sets one part of a Client.
type ClientOption func(*Client)

// WithAddresses sets the operators' listeners, tried in turn.
func WithAddresses(a ...netip.AddrPort) ClientOption { return func(c *Client) { c.addresses = a } }

// WithClientKey sends the shared key.
func WithClientKey(key string) ClientOption { return func(c *Client) { c.key = key } }

// WithTimeout bounds one operation with all its attempts, but Wait.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithDial opens TLS connections with dial, as process.TLS offers it.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.Transport = &http.Transport{DialTLSContext: dial, MaxIdleConnsPerHost: 1, ForceAttemptHTTP2: true}
	}
}

// NewClient returns a client; Close releases its connections.
func NewClient(opts ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: 3 * time.Second}
	c := &Client{
		scheme: "http", timeout: clientTime,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1},
			// A node never redirects; following one would send the key elsewhere.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply proposes a change; it is resent with its id while the outcome is not known.
func (c *Client) Apply(ctx context.Context, change Change) (*Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/changes", &change)
}

// Plan returns what Apply would do.
func (c *Client) Plan(ctx context.Context, change Change) (*Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/plan", &change)
}

// History returns the newest limit changes, newest last.
func (c *Client) History(ctx context.Context, limit int) (*History, error) {
	return call[History](ctx, c, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil)
}

// Show returns register and rules as of version, 0 for the current one; stale asks for what the first replica that answers
// holds, without the confirmation of a majority.
func (c *Client) Show(ctx context.Context, version uint64, stale bool) (*Content, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}, "stale": {strconv.FormatBool(stale)}}
	return call[Content](ctx, c, http.MethodGet, "/v1/show?"+query.Encode(), nil)
}

// Status describes the mesh. When the first node that answers knows no leader, the others are asked once each.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var from netip.AddrPort
	first := new(Status)
	err := c.try(ctx, func(ctx context.Context, a netip.AddrPort) error {
		from = a
		return c.once(ctx, a, http.MethodGet, statusPath, nil, first)
	})
	if err != nil {
		return nil, err
	}
	for _, a := range c.addresses {
		s := new(Status)
		if first.Leader == "" && a != from && c.once(ctx, a, http.MethodGet, statusPath, nil, s) == nil && s.Leader != "" {
			return s, nil
		}
	}
	return first, nil
}

// Wait reports progress until version is in force everywhere; a *Problem with CodeTimeout ends it at timeout.
func (c *Client) Wait(ctx context.Context, version uint64, timeout time.Duration, report func(Progress)) error {
	until := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, until.Add(attemptTime))
	defer cancel()
	return c.try(ctx, func(ctx context.Context, a netip.AddrPort) error {
		query := url.Values{
			"version": {strconv.FormatUint(version, 10)},
			"timeout": {max(time.Until(until), time.Millisecond).String()},
		}
		answer, err := c.send(ctx, http.MethodGet, a, "/v1/wait?"+query.Encode(), nil)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		return follow(answer.Body, report)
	})
}

// follow reads progress lines up to the last one.
func follow(body io.Reader, report func(Progress)) error {
	d := json.NewDecoder(body)
	for {
		var p Progress
		if err := d.Decode(&p); err != nil {
			return fmt.Errorf("progress broke off: %w", err)
		}
		if p.Problem != nil {
			return p.Problem
		}
		report(p)
		if p.Done {
			return nil
		}
	}
}

func call[T any](ctx context.Context, c *Client, method, path string, content any) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if content != nil {
		var buffer bytes.Buffer
		e := json.NewEncoder(&buffer)
		e.SetEscapeHTML(false) // escapes would lengthen a file that is just under its limit
		if err := e.Encode(content); err != nil {
			return nil, malformed(err.Error())
		}
		body = buffer.Bytes()
	}
	value := new(T)
	err := c.try(ctx, func(ctx context.Context, a netip.AddrPort) error {
		return c.once(ctx, a, method, path, body, value)
	})
	if err != nil {
		return nil, err
	}
	return value, nil
}

// once makes one attempt at one address.
func (c *Client) once(ctx context.Context, a netip.AddrPort, method, path string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	answer, err := c.send(ctx, method, a, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(answer.Body, answerBytes)).Decode(value)
	if err != nil {
		return fmt.Errorf("answer broke off: %w", err)
	}
	return nil
}

// send makes one request; a problem answer becomes its error.
func (c *Client) send(ctx context.Context, method string, a netip.AddrPort, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+a.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	p := &Problem{}
	err = json.NewDecoder(io.LimitReader(answer.Body, answerBytes)).Decode(p)
	if err != nil || p.Code == "" {
		return nil, &AnswerError{Status: answer.StatusCode, Err: err}
	}
	return nil, p
}

// try runs f on each address in turn until one gives a final answer; every operation may be repeated, changes by their id.
func (c *Client) try(ctx context.Context, f func(context.Context, netip.AddrPort) error) error {
	outcome := NotRun
	pause := firstPause
	var told error // what a node answered, which says more than a connection that failed
	for round := 1; ; round++ {
		refused := true
		var last error
		for _, a := range c.addresses {
			err := f(ctx, a)
			if final(err) {
				return err
			}
			last = err
			if _, ok := errors.AsType[*Problem](err); ok {
				told = err
			}
			if !notRun(err) {
				outcome = Unknown
			}
			refused = refused && hopeless(err)
		}
		if told != nil {
			last = told
		}
		if refused && round >= refusedMost {
			return &UnreachableError{Addresses: c.addresses, Outcome: outcome, Err: last}
		}
		select {
		case <-ctx.Done():
			return &UnreachableError{Addresses: c.addresses, Outcome: outcome, Err: last}
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, longestPause)
	}
}

// hopeless reports whether a failure is unlikely to pass within seconds.
func hopeless(err error) bool {
	_, alert := errors.AsType[tls.AlertError](err)
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	_, foreign := errors.AsType[*AnswerError](err)
	return alert || untrusted || foreign || errors.Is(err, syscall.ECONNREFUSED)
}

// final reports whether err answers the operation, so that no other address is asked.
func final(err error) bool {
	if err == nil {
		return true
	}
	p, ok := errors.AsType[*Problem](err)
	return ok && p.Code != CodeUnavailable && p.Code != CodeInternal
}

// notRun reports whether a failed attempt is proven to have had no effect.
func notRun(err error) bool {
	if p, ok := errors.AsType[*Problem](err); ok {
		return p.Outcome == NotRun
	}
	operation, ok := errors.AsType[*net.OpError](err)
	return ok && operation.Op == "dial"
}
