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

// Limits and timeouts of the client.
const (
	operationTimeout   = 20 * time.Second       // for one operation, including all attempts
	attemptTimeout     = 7 * time.Second        // for one attempt; above the server's answerTimeout, so that its own answer arrives first
	minBackoff         = 100 * time.Millisecond // longest pause after the first round over all addresses; doubles after each round
	maxBackoff         = 2 * time.Second        // longest pause after any round
	maxPermanentRounds = 3                      // first round after which the client gives up if all its errors are permanent
	maxAnswerBytes     = 16 << 20               // longest answer that the client reads
	statusPath         = "/v1/status"
)

// UnreachableError reports that every address failed or gave only answers that call for another attempt.
type UnreachableError struct {
	Addresses []netip.AddrPort
	Outcome   string // outcome of the change: NotRun or Unknown
	Err       error  // last problem that a node sent, or else the error of the last attempt
}

// Error returns the addresses, the outcome of the change and the text of Err.
func (e *UnreachableError) Error() string {
	names := make([]string, len(e.Addresses))
	for i, a := range e.Addresses {
		names[i] = a.String()
	}
	if p, ok := errors.AsType[*Problem](e.Err); ok {
		return fmt.Sprintf("%s (reported by a node at %s, outcome %s)", p.Error(), strings.Join(names, ", "), e.Outcome)
	}
	return fmt.Sprintf("no answer from %s (outcome %s): %v", strings.Join(names, ", "), e.Outcome, e.Err)
}

// Problem returns the failure as a problem that says what to do next.
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

// Unwrap lets errors.Is and errors.As find the last problem or error in Err.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError reports an answer with a status other than 200 that holds no problem, so that it does not come from a node.
type AnswerError struct {
	Status int
	Err    error
}

// Error says that the answer does not come from a node, and names its HTTP status and the cause.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with status %d does not come from a node of this project: %v", e.Status, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// Client calls the operator listeners of one mesh.
type Client struct {
	addresses []netip.AddrPort
	key       string
	scheme    string
	http      *http.Client
	timeout   time.Duration
}

// ClientOption is an argument of NewClient, such as the addresses or the shared key.
type ClientOption func(*Client)

// WithAddresses sets the operator listeners, which are tried in order.
func WithAddresses(a ...netip.AddrPort) ClientOption { return func(c *Client) { c.addresses = a } }

// WithClientKey sets the shared key, which is sent as a bearer token.
func WithClientKey(key string) ClientOption { return func(c *Client) { c.key = key } }

// WithTimeout limits the time of each operation except Wait, including all attempts.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithDial makes the client use HTTPS over connections that dial opens, such as process.TLS.Dial.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.Transport = &http.Transport{DialTLSContext: dial, MaxIdleConnsPerHost: 1, ForceAttemptHTTP2: true}
	}
}

// NewClient returns a client; call Close when it is no longer used.
func NewClient(opts ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: 3 * time.Second}
	c := &Client{
		scheme: "http", timeout: operationTimeout,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1},
			// Nodes never redirect; following a redirect would send the key to another host.
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

// Apply proposes a change and resends it with the same id until a node gives a final answer or the client gives up.
func (c *Client) Apply(ctx context.Context, change Change) (*Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/changes", &change)
}

// Plan returns what Apply would change, without changing it.
func (c *Client) Plan(ctx context.Context, change Change) (*Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/plan", &change)
}

// History returns up to limit of the newest changes, newest last.
func (c *Client) History(ctx context.Context, limit int) (*History, error) {
	return call[History](ctx, c, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil)
}

// Show returns register and rules of a version, or the current ones for version 0. With stale, the first replica that answers
// returns its own copy, which no majority has confirmed.
func (c *Client) Show(ctx context.Context, version uint64, stale bool) (*Content, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}, "stale": {strconv.FormatBool(stale)}}
	return call[Content](ctx, c, http.MethodGet, "/v1/show?"+query.Encode(), nil)
}

// Status returns the state of the mesh. If the first node that answers knows no leader, Status asks the other nodes
// once each until one knows the leader.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var responder netip.AddrPort
	first := new(Status)
	err := c.retry(ctx, func(ctx context.Context, a netip.AddrPort) error {
		responder = a
		return c.attempt(ctx, a, http.MethodGet, statusPath, nil, first)
	})
	if err != nil {
		return nil, err
	}
	for _, a := range c.addresses {
		s := new(Status)
		if first.Leader == "" && a != responder && c.attempt(ctx, a, http.MethodGet, statusPath, nil, s) == nil && s.Leader != "" {
			return s, nil
		}
	}
	return first, nil
}

// Wait reports progress until the version is in force on every node. After timeout it fails with a *Problem that has CodeTimeout,
// or with *UnreachableError if no node answers.
func (c *Client) Wait(ctx context.Context, version uint64, timeout time.Duration, report func(Progress)) error {
	until := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, until.Add(attemptTimeout))
	defer cancel()
	return c.retry(ctx, func(ctx context.Context, a netip.AddrPort) error {
		query := url.Values{
			"version": {strconv.FormatUint(version, 10)},
			"timeout": {max(time.Until(until), time.Millisecond).String()},
		}
		answer, err := c.send(ctx, http.MethodGet, a, "/v1/wait?"+query.Encode(), nil)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		return readProgress(answer.Body, report)
	})
}

// readProgress reads progress lines until one has Done set or holds a problem, which it returns as the error.
func readProgress(body io.Reader, report func(Progress)) error {
	d := json.NewDecoder(body)
	for {
		var p Progress
		if err := d.Decode(&p); err != nil {
			return fmt.Errorf("progress stream ended before its last line: %w", err)
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
		e.SetEscapeHTML(false) // escaping could push a file that is just below the size limit over it
		if err := e.Encode(content); err != nil {
			return nil, malformedProblem(err.Error())
		}
		body = buffer.Bytes()
	}
	value := new(T)
	err := c.retry(ctx, func(ctx context.Context, a netip.AddrPort) error {
		return c.attempt(ctx, a, method, path, body, value)
	})
	if err != nil {
		return nil, err
	}
	return value, nil
}

// attempt sends the request once, to one address, and decodes the answer into value.
func (c *Client) attempt(ctx context.Context, a netip.AddrPort, method, path string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := c.send(ctx, method, a, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if err := decodeAnswer(answer.Body, value); err != nil {
		return fmt.Errorf("answer incomplete or not JSON: %w", err)
	}
	return nil
}

// decodeAnswer decodes an answer, which must consist of one JSON document.
func decodeAnswer(body io.Reader, to any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, to)
}

// send makes one request. An answer with a status other than 200 becomes a *Problem if it holds one, or else an *AnswerError.
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
	err = decodeAnswer(answer.Body, p)
	if err != nil || p.Code == "" {
		return nil, &AnswerError{Status: answer.StatusCode, Err: err}
	}
	return nil, p
}

// retry calls f with each address in order, round after round, until one gives a final answer, ctx ends, or all errors
// of a round from maxPermanentRounds on are permanent. Every operation is idempotent, a change because of its id.
func (c *Client) retry(ctx context.Context, f func(context.Context, netip.AddrPort) error) error {
	outcome := NotRun
	pause := minBackoff
	var lastProblem error // last problem from a node, which says more about the cause than a failed connection
	for round := 1; ; round++ {
		permanent := true
		var last error
		for _, a := range c.addresses {
			err := f(ctx, a)
			if isFinal(err) {
				return err
			}
			last = err
			if _, ok := errors.AsType[*Problem](err); ok {
				lastProblem = err
			}
			if !provenNotRun(err) {
				outcome = Unknown
			}
			permanent = permanent && isPermanent(err)
		}
		if lastProblem != nil {
			last = lastProblem
		}
		if permanent && round >= maxPermanentRounds {
			return &UnreachableError{Addresses: c.addresses, Outcome: outcome, Err: last}
		}
		select {
		case <-ctx.Done():
			return &UnreachableError{Addresses: c.addresses, Outcome: outcome, Err: last}
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, maxBackoff)
	}
}

// isPermanent reports whether the cause of a failure is unlikely to go away within seconds.
func isPermanent(err error) bool {
	_, alert := errors.AsType[tls.AlertError](err)
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	_, foreign := errors.AsType[*AnswerError](err)
	return alert || untrusted || foreign || errors.Is(err, syscall.ECONNREFUSED)
}

// isFinal reports whether err ends the retries: nil, or a problem with any code but CodeUnavailable and CodeInternal.
func isFinal(err error) bool {
	if err == nil {
		return true
	}
	p, ok := errors.AsType[*Problem](err)
	return ok && p.Code != CodeUnavailable && p.Code != CodeInternal
}

// provenNotRun reports whether a failed attempt certainly had no effect.
func provenNotRun(err error) bool {
	if p, ok := errors.AsType[*Problem](err); ok {
		return p.Outcome == NotRun
	}
	operation, ok := errors.AsType[*net.OpError](err)
	return ok && operation.Op == "dial"
}
