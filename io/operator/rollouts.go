package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"godwitspindle/core/rollout"
	"godwitspindle/core/wire"
)

// RolloutOrder is the body of POST /v1/rollouts.
type RolloutOrder struct {
	Service  string   `json:"service"`
	Release  string   `json:"release"`
	Duration Duration `json:"duration"` // time from acceptance by which the rollout must end
}

// Rollout is the answer of POST /v1/rollouts and GET /v1/rollouts/SERVICE: the newest rollout of a service.
type Rollout struct {
	Service  string    `json:"service"`
	Release  string    `json:"release"`
	State    string    `json:"state"` // running, completed or rolled_back
	Share    float64   `json:"share"` // part of the requests that the new release gets
	Reason   string    `json:"reason"`
	Accepted time.Time `json:"accepted"`
	Duration Duration  `json:"duration"`
	Sent     uint64    `json:"sent"` // answers of the new release, at least
	Bad      uint64    `json:"bad"`  // failures among them, at least
}

// NewRollout returns the JSON form of a rollout.
func NewRollout(r *wire.Rollout) Rollout {
	return Rollout{
		Service: r.GetService(), Release: r.GetRelease(), State: RolloutState(r.GetState()), Share: float64(r.GetShare()) / rollout.Whole,
		Reason: r.GetReason(), Accepted: time.UnixMilli(r.GetAccepted()).UTC(),
		Duration: Duration(time.Duration(r.GetDuration()) * time.Millisecond), Sent: r.GetSent(), Bad: r.GetBad(),
	}
}

// RolloutState returns the name of a state.
func RolloutState(s wire.RolloutState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ROLLOUT_STATE_"))
}

// WithRollouts sets the functions that start a rollout and that return the newest one of a service, or nil if it had none.
func WithRollouts(
	start func(context.Context, *wire.RolloutOrder) (*wire.Result, error),
	newest func(ctx context.Context, service string) (*wire.Rollout, error),
) Option {
	return func(s *Server) { s.startRollout, s.rollout = start, newest }
}

func (s *Server) serveRolloutStart(w http.ResponseWriter, r *http.Request) *Problem {
	var o RolloutOrder
	if err := decodeObject(w, r, maxTextBytes, &o); err != nil {
		return malformedProblem(err.Error())
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	result, err := s.startRollout(ctx, &wire.RolloutOrder{
		Service: o.Service, Release: o.Release, Duration: time.Duration(o.Duration).Milliseconds(),
	})
	if err != nil {
		return s.problemFor(err)
	}
	if refused := result.GetRefusal(); refused != nil {
		return rolloutProblem(refused)
	}
	return s.writeJSON(w, NewRollout(result.GetRollout()))
}

func (s *Server) serveRollout(w http.ResponseWriter, r *http.Request) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	newest, err := s.rollout(ctx, r.PathValue("service"))
	if err != nil {
		return s.problemFor(err)
	}
	if newest == nil {
		return &Problem{
			Title: "no rollout", Status: http.StatusNotFound, Code: CodeNoRollout, Detail: "the service had no rollout",
			Next: "choose a service that had one",
		}
	}
	return s.writeJSON(w, NewRollout(newest))
}

// rolloutProblem returns the answer to a refused order.
func rolloutProblem(r *wire.Refusal) *Problem {
	p := &Problem{Status: http.StatusUnprocessableEntity, Code: r.GetCode(), Outcome: NotRun, Faults: newFaults(r.GetFaults())}
	p.Title, p.Next = "the order has faults", "correct every fault and order again"
	if r.GetCode() == CodeRolloutRunning {
		p.Title, p.Status, p.Next = "another rollout of the service is running", http.StatusConflict, "wait until it has ended; see rollout status SERVICE"
	}
	return p
}

// StartRollout orders a rollout, and again until a node gives a final answer or the client gives up.
func (c *Client) StartRollout(ctx context.Context, o RolloutOrder) (*Rollout, error) {
	return call[Rollout](ctx, c, http.MethodPost, "/v1/rollouts", &o)
}

// Rollout returns the newest rollout of a service.
func (c *Client) Rollout(ctx context.Context, service string) (*Rollout, error) {
	return call[Rollout](ctx, c, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), nil)
}

// String describes a rollout in one line.
func (r *Rollout) String() string {
	return fmt.Sprintf("%s to %s: %s, share %.3g, %s; %d answers, %d failed", r.Service, r.Release, r.State, r.Share, r.Reason, r.Sent, r.Bad)
}
