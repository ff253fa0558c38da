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
	c, p := s.readChange(w, r)
	if p != nil {
		return p
	}
	if c.GetId() == "" {
		return malformedProblem("id: expected a value that no other change has, so that the change can be resent")
	}
	if c.GetAuthor() == "" || c.GetReason() == "" {
		return malformedProblem("author and reason: expected a value")
	}
	return s.serveResult(w, r, c, s.propose)
}

func (s *Server) servePlan(w http.ResponseWriter, r *http.Request) *Problem {
	c, p := s.readChange(w, r)
	if p != nil {
		return p
	}
	// The store checks a plan like a change, which needs these fields. The answer has the values of the request again.
	id, author, reason := c.GetId(), c.GetAuthor(), c.GetReason()
	c.Id, c.Author, c.Reason = cmp.Or(id, rand.Text()), cmp.Or(author, "plan"), cmp.Or(reason, "plan")
	return s.serveResult(w, r, c, func(ctx context.Context, c *wire.Change) (*wire.Result, error) {
		result, err := s.plan(ctx, c)
		if result.GetAccepted() == nil {
			return result, err
		}
		result = proto.CloneOf(result) // the store may share the original
		a := result.GetAccepted()
		a.Id, a.Author, a.Reason = id, author, reason
		return result, err
	})
}

func (s *Server) serveResult(w http.ResponseWriter, r *http.Request, c *wire.Change, f func(context.Context, *wire.Change) (*wire.Result, error)) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	result, err := f(ctx, c)
	if err != nil {
		return s.problemFor(err)
	}
	switch b := result.GetBody().(type) {
	case *wire.Result_Accepted:
		return s.writeJSON(w, NewAccepted(b.Accepted))
	case *wire.Result_Conflict:
		return conflictProblem(b.Conflict)
	case *wire.Result_Refusal:
		return refusalProblem(b.Refusal)
	}
	return s.problemFor(&UnavailableError{Outcome: Unknown})
}

// readChange parses the request body; an invalid register or rules file gives a problem with status 422 that lists all its faults.
func (s *Server) readChange(w http.ResponseWriter, r *http.Request) (*wire.Change, *Problem) {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return nil, malformedProblem("Content-Type: expected application/json")
	}
	var c Change
	if err := decodeObject(w, r, maxBodyBytes, &c); err != nil {
		return nil, decodeProblem(err)
	}
	if len(c.ID) > maxIDBytes || len(c.Author) > maxTextBytes || len(c.Reason) > maxTextBytes {
		return nil, malformedProblem("expected an id of at most 128 bytes, and author and reason of at most 1000 each")
	}
	// Control characters would be printed to the terminal of everyone who reads the history.
	if strings.ContainsFunc(c.ID+c.Author+c.Reason, unicode.IsControl) {
		return nil, malformedProblem("id, author and reason: expected one line without control characters")
	}
	return s.parseChange(c)
}

// trailingDataError reports bytes after the JSON object of a request.
type trailingDataError struct{}

// Error states what is expected.
func (*trailingDataError) Error() string { return "expected one JSON object" }

// decodeObject decodes a request body of at most limit bytes, which must consist of one JSON object without unknown fields.
func decodeObject(w http.ResponseWriter, r *http.Request, limit int64, to any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &trailingDataError{}
	}
	return nil
}

func decodeProblem(err error) *Problem {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return &Problem{
			Title: "request too long", Status: http.StatusRequestEntityTooLarge, Code: CodeOversize, Outcome: NotRun,
			Next: "keep each file under 1 MiB; split rules into sets",
		}
	}
	return malformedProblem(err.Error())
}

func (s *Server) parseChange(c Change) (*wire.Change, *Problem) {
	out := &wire.Change{Id: c.ID, Base: c.Base, Author: c.Author, Reason: c.Reason}
	parts := 0
	if len(c.Register) > 0 {
		parts++
		register, err := s.register(c.Register)
		if err != nil {
			return nil, s.invalidProblem(err)
		}
		out.Body = &wire.Change_Register{Register: register}
	}
	if len(c.Rules) > 0 {
		parts++
		rules, err := s.rules(c.Rules)
		if err != nil {
			return nil, s.invalidProblem(err)
		}
		out.Body = &wire.Change_Rules{Rules: rules}
	}
	if len(c.Customers) > 0 && s.customers != nil {
		parts++
		customers, err := s.customers(c.Customers)
		if err != nil {
			return nil, s.invalidProblem(err)
		}
		out.Body = &wire.Change_Customers{Customers: customers}
	}
	if c.Revert > 0 {
		parts++
		out.Body = &wire.Change_Revert{Revert: c.Revert}
	}
	if parts != 1 {
		return nil, malformedProblem("expected exactly one of register, rules, customers and revert")
	}
	return out, nil
}

func (s *Server) invalidProblem(err error) *Problem {
	faults := []*wire.Fault{{Expected: err.Error()}}
	if s.faults != nil {
		if listed := s.faults(err); len(listed) > 0 {
			faults = listed
		}
	}
	return refusalProblem(&wire.Refusal{Code: CodeInvalid, Faults: faults})
}

func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) *Problem {
	limit, p := queryNumber(r, "limit", 20, maxHistory)
	if p != nil {
		return p
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	changes, err := s.history(ctx, int(limit))
	if err != nil {
		return s.problemFor(err)
	}
	h := History{Changes: []Accepted{}}
	for _, c := range changes {
		h.Changes = append(h.Changes, NewAccepted(c))
	}
	return s.writeJSON(w, h)
}

func (s *Server) serveShow(w http.ResponseWriter, r *http.Request) *Problem {
	version, p := queryNumber(r, "version", 0, math.MaxUint64)
	if p != nil {
		return p
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	read := s.content
	if r.URL.Query().Get("stale") == "true" {
		read = s.localContent
	}
	shown, c, err := read(ctx, version)
	if err != nil {
		return s.problemFor(err)
	}
	return s.writeJSON(w, NewContent(shown, c))
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	status, err := s.status(ctx)
	if err != nil {
		return s.problemFor(err)
	}
	return s.writeJSON(w, status)
}

// serveWait streams progress as JSON lines; the last line has done set or holds a problem.
func (s *Server) serveWait(w http.ResponseWriter, r *http.Request) *Problem {
	version, p := queryNumber(r, "version", 0, math.MaxUint64)
	if p != nil {
		return p
	}
	if version == 0 {
		return malformedProblem("version: expected the version to wait for")
	}
	timeout := defaultWaitTimeout
	if text := r.URL.Query().Get("timeout"); text != "" {
		t, err := time.ParseDuration(text)
		if err != nil || t <= 0 || t > maxWaitTimeout {
			return malformedProblem(`timeout: expected a time up to "10m", such as "30s"`)
		}
		timeout = t
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	w.Header().Set("Content-Type", "application/jsonl")
	out := progressWriter{w: w, control: http.NewResponseController(w)}
	err := s.wait(ctx, version, out.write)
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		out.writeProblem(&Problem{
			Title: "not in force everywhere in time", Status: http.StatusGatewayTimeout, Code: CodeTimeout,
			Next: "an accepted change stays accepted; see status for who is behind and history for the version, and wait again",
		})
	default:
		out.writeProblem(s.problemFor(err))
	}
	return nil
}

// progressWriter writes JSON lines. It flushes each one under its own write deadline, so that a
// stalled reader is disconnected.
type progressWriter struct {
	mu      sync.Mutex
	w       io.Writer
	control *http.ResponseController
	last    Progress
}

func (pw *progressWriter) write(p Progress) {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	pw.last = p
	_ = pw.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = json.NewEncoder(pw.w).Encode(p)
	_ = pw.control.Flush()
}

func (pw *progressWriter) writeProblem(p *Problem) {
	last := pw.last
	last.Done, last.Problem = false, p
	pw.write(last)
}
