package hop

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"godwitspindle/core/outcome"
)

// withdrawPath is the path of a withdrawal on the peer listener. A withdrawal carries no call id, so a node that does not know the
// message answers 404 and changes nothing.
const withdrawPath = "/mesh/withdraw"

// headerWithdrawn is set on the answer to a withdrawal: the number of calls that were withdrawn.
const headerWithdrawn = "Mesh-Withdrawn"

// maxWithdrawalBytes limits one withdrawal. With usual names it holds about 500 calls.
const maxWithdrawalBytes = 32 << 10

// Withdrawn names a call that a stopping node withdraws from the queue of an endpoint.
type Withdrawn struct {
	Endpoint string // service and name of the endpoint, separated by a slash
	Call     string // call id
}

// WithdrawalError reports a line of a withdrawal that is not an endpoint and a call id.
type WithdrawalError struct{ Line string }

// Error names the line.
func (e *WithdrawalError) Error() string { return fmt.Sprintf("withdrawal: malformed line %q", e.Line) }

// WithWithdraw sets the function that withdraws calls which still wait for their endpoints, and returns how many it withdrew. Without
// it the server does not know withdrawals.
func WithWithdraw(withdraw func(calls []Withdrawn) int) ServerOption {
	return func(s *Server) { s.withdraw = withdraw }
}

// Withdraw asks the node at address to refuse those of the calls that still wait for their endpoints, and returns how many it refused.
// Their answers arrive as answers to the calls. The error is an *outcome.Failure and says nothing about the calls.
func (c *Client) Withdraw(ctx context.Context, address netip.AddrPort, calls []Withdrawn) (int, error) {
	total := 0
	for _, message := range encodeWithdrawals(calls) {
		n, f := c.withdraw(ctx, address, message)
		if f != nil {
			return total, f
		}
		total += n
	}
	return total, nil
}

// withdraw sends one message.
func (c *Client) withdraw(ctx context.Context, address netip.AddrPort, message string) (int, *outcome.Failure) {
	conn, f := c.acquire(ctx, address, "")
	if f != nil {
		return 0, f
	}
	defer c.release(address)
	r := emptyRequest.WithContext(ctx)
	r.Method, r.Header = http.MethodPost, http.Header{}
	r.URL = &url.URL{Scheme: c.scheme, Host: address.String(), Path: withdrawPath}
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(message)), int64(len(message))
	if c.key != "" {
		r.Header[headerKey] = []string{c.key}
	}
	p, err := conn.RoundTrip(r)
	if err != nil {
		return 0, classify(ctx, "", err)
	}
	_ = p.Body.Close()
	n, err := strconv.Atoi(p.Header.Get(headerWithdrawn))
	if p.StatusCode != http.StatusOK || err != nil || n < 0 {
		return 0, failure(outcome.Refused, outcome.Unknown, "", "the peer does not take the withdrawal: "+p.Status, err)
	}
	return n, nil
}

// serveWithdrawal withdraws the calls that a message names. A message that is not valid as a whole withdraws none.
func (s *Server) serveWithdrawal(w http.ResponseWriter, r *http.Request) {
	if f := s.checkKey(r); f != nil {
		f.Write(w)
		return
	}
	message, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWithdrawalBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	calls, err := decodeWithdrawal(string(message))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header()[headerWithdrawn] = []string{strconv.Itoa(s.withdraw(calls))}
}

// isWithdrawal reports whether a request without a call id is a withdrawal that this server takes.
func (s *Server) isWithdrawal(r *http.Request) bool {
	return s.withdraw != nil && r.Method == http.MethodPost && r.URL.Path == withdrawPath
}

func (c *Withdrawn) valid() bool {
	service, name, _ := strings.Cut(c.Endpoint, "/")
	return validName(service) && validName(name) && validName(c.Call)
}

// encodeWithdrawals returns messages of at most maxWithdrawalBytes with one line for each call: endpoint and call id,
// separated by a space. Calls with names that no call may have are left out, since no node has taken them.
func encodeWithdrawals(calls []Withdrawn) []string {
	var messages []string
	var b strings.Builder
	for _, c := range calls {
		if !c.valid() {
			continue
		}
		line := c.Endpoint + " " + c.Call + "\n"
		if b.Len()+len(line) > maxWithdrawalBytes {
			messages = append(messages, b.String())
			b.Reset()
		}
		b.WriteString(line)
	}
	if b.Len() > 0 {
		messages = append(messages, b.String())
	}
	return messages
}

// decodeWithdrawal parses a message; the error is a *WithdrawalError.
func decodeWithdrawal(message string) ([]Withdrawn, error) {
	var calls []Withdrawn
	for line := range strings.Lines(message) {
		text, ended := strings.CutSuffix(line, "\n")
		endpoint, call, _ := strings.Cut(text, " ")
		c := Withdrawn{Endpoint: endpoint, Call: call}
		if !ended || !c.valid() {
			return nil, &WithdrawalError{Line: line}
		}
		calls = append(calls, c)
	}
	return calls, nil
}
