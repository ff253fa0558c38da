package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"math"
	"mime"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

func (s *Server) serveChange(w http.ResponseWriter, r *http.Request) *Problem {
	c, p := s.read(w, r)
	if p != nil {
		return p
	}
	if c.GetId() == "" {
		return malformed("id: expected a value that no other change has, so that the change can be resent")
	}
	if c.GetAuthor() == "" || c.GetReason() == "" {
		return malformed("author and reason: expected a value")
	}
	return s.serveResult(w, r, c, s.propose)
}

func (s *Server) servePlan(w http.ResponseWriter, r *http.Request) *Problem {
	c, p := s.read(w, r)
	if p != nil {
		return p
	}
	// The store judges a plan as it would the change, which needs these fields; the answer leaves them out again.
	id, author, reason := c.GetId(), c.GetAuthor(), c.GetReason()
	c.Id, c.Author, c.Reason = cmp.Or(id, rand.Text()), cmp.Or(author, "plan"), cmp.Or(reason, "plan")
	return s.serveResult(w, r, c, func(ctx context.Context, c *wire.Change) (*wire.Result, error) {
		result, err := s.plan(ctx, c)
		if result.GetAccepted() == nil {
			return result, err
		}
		result = proto.CloneOf(result) // may be shared with the store
		a := result.GetAccepted()
		a.Id, a.Author, a.Reason = id, author, reason
		return result, err
	})
}

func (s *Server) serveResult(w http.ResponseWriter, r *http.Request, c *wire.Change, f func(context.Context, *wire.Change) (*wire.Result, error)) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTime)
	defer cancel()
	result, err := f(ctx, c)
	if err != nil {
		return s.failed(err)
	}
	switch b := result.GetBody().(type) {
	case *wire.Result_Accepted:
		return s.answer(w, NewAccepted(b.Accepted))
	case *wire.Result_Conflict:
		return conflict(b.Conflict)
	case *wire.Result_Refusal:
		return refusal(b.Refusal)
	}
	return s.failed(&UnavailableError{Outcome: Unknown})
}

// read takes a change from the body; content faults become a 422 with every fault.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*wire.Change, *Problem) {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return nil, malformed("Content-Type: expected application/json")
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	var c Change
	if err := d.Decode(&c); err != nil {
		return nil, unreadable(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, malformed("expected one JSON object")
	}
	if len(c.ID) > maxIDBytes || len(c.Author) > maxTextBytes || len(c.Reason) > maxTextBytes {
		return nil, malformed("expected an id of at most 128 bytes, and author and reason of at most 1000 each")
	}
	// Control characters would reach the terminals of everyone who reads the history.
	if strings.ContainsFunc(c.ID+c.Author+c.Reason, unicode.IsControl) {
		return nil, malformed("id, author and reason: expected one line without control characters")
	}
	return s.convert(c)
}

func unreadable(err error) *Problem {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return &Problem{
			Title: "request too long", Status: http.StatusRequestEntityTooLarge, Code: CodeOversize, Outcome: NotRun,
			Next: "keep each file under 1 MiB; split rules into sets",
		}
	}
	return malformed(err.Error())
}

func (s *Server) convert(c Change) (*wire.Change, *Problem) {
	out := &wire.Change{Id: c.ID, Base: c.Base, Author: c.Author, Reason: c.Reason}
	parts := 0
	if len(c.Register) > 0 {
		parts++
		register, err := s.register(c.Register)
		if err != nil {
			return nil, s.invalid(err)
		}
		out.Body = &wire.Change_Register{Register: register}
	}
	if len(c.Rules) > 0 {
		parts++
		rules, err := s.rules(c.Rules)
		if err != nil {
			return nil, s.invalid(err)
		}
		out.Body = &wire.Change_Rules{Rules: rules}
	}
	if c.Revert > 0 {
		parts++
		out.Body = &wire.Change_Revert{Revert: c.Revert}
	}
	if parts != 1 {
		return nil, malformed("expected exactly one of register, rules and revert")
	}
	return out, nil
}

func (s *Server) invalid(err error) *Problem {
	faults := []*wire.Fault{{Expected: err.Error()}}
	if s.faults != nil {
		if listed := s.faults(err); len(listed) > 0 {
			faults = listed
		}
	}
	return refusal(&wire.Refusal{Code: CodeInvalid, Faults: faults})
}

func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) *Problem {
	limit, p := number(r, "limit", 20, maxHistory)
	if p != nil {
		return p
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTime)
	defer cancel()
	changes, err := s.history(ctx, int(limit))
	if err != nil {
		return s.failed(err)
	}
	h := History{Changes: []Accepted{}}
	for _, c := range changes {
		h.Changes = append(h.Changes, NewAccepted(c))
	}
	return s.answer(w, h)
}

func (s *Server) serveShow(w http.ResponseWriter, r *http.Request) *Problem {
	version, p := number(r, "version", 0, math.MaxUint64)
	if p != nil {
		return p
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTime)
	defer cancel()
	read := s.content
	if r.URL.Query().Get("stale") == "true" {
		read = s.held
	}
	at, c, err := read(ctx, version)
	if err != nil {
		return s.failed(err)
	}
	return s.answer(w, NewContent(at, c))
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTime)
	defer cancel()
	status, err := s.status(ctx)
	if err != nil {
		return s.failed(err)
	}
	return s.answer(w, status)
}

// serveWait streams progress as JSON lines; the last one has done or a problem.
func (s *Server) serveWait(w http.ResponseWriter, r *http.Request) *Problem {
	version, p := number(r, "version", 0, math.MaxUint64)
	if p != nil {
		return p
	}
	if version == 0 {
		return malformed("version: expected the version to wait for")
	}
	timeout := defaultWait
	if text := r.URL.Query().Get("timeout"); text != "" {
		t, err := time.ParseDuration(text)
		if err != nil || t <= 0 || t > maxWait {
			return malformed(`timeout: expected a time up to "10m", such as "30s"`)
		}
		timeout = t
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	w.Header().Set("Content-Type", "application/jsonl")
	out := lines{w: w, control: http.NewResponseController(w)}
	err := s.wait(ctx, version, out.write)
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		out.end(&Problem{
			Title: "not in force everywhere in time", Status: http.StatusGatewayTimeout, Code: CodeTimeout,
			Next: "an accepted change stays accepted; see status for who is behind and history for the version, and wait again",
		})
	default:
		out.end(s.failed(err))
	}
	return nil
}

// lines writes JSON lines, each flushed and with its own deadline so that a reader that stalls is dropped.
type lines struct {
	mu      sync.Mutex
	w       io.Writer
	control *http.ResponseController
	last    Progress
}

func (l *lines) write(p Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = p
	_ = l.control.SetWriteDeadline(time.Now().Add(writeTime))
	_ = json.NewEncoder(l.w).Encode(p)
	_ = l.control.Flush()
}

func (l *lines) end(p *Problem) {
	last := l.last
	last.Done, last.Problem = false, p
	l.write(last)
}
