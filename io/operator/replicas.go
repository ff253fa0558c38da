package operator

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
)

// actionList is the action of GET /v1/replicas.
const actionList = "list"

func (s *Server) serveReplicas(w http.ResponseWriter, r *http.Request) *Problem {
	return s.serveMembers(w, r, Action{Action: actionList})
}

func (s *Server) serveAction(w http.ResponseWriter, r *http.Request) *Problem {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return malformed("Content-Type: expected application/json")
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTextBytes))
	d.DisallowUnknownFields()
	var a Action
	if err := d.Decode(&a); err != nil {
		return malformed(err.Error())
	}
	if a.Action != ActionAdd && a.Action != ActionPromote && a.Action != ActionRemove {
		return malformed("action: expected add, promote or remove")
	}
	if a.Name == "" {
		return malformed("name: expected the name of a replica")
	}
	return s.serveMembers(w, r, a)
}

func (s *Server) serveMembers(w http.ResponseWriter, r *http.Request, a Action) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTime)
	defer cancel()
	list, err := s.replicas(ctx, a.Action, a.Name)
	if err != nil {
		return s.failed(err)
	}
	return s.answer(w, list)
}

// Replicas lists the control replicas.
func (c *Client) Replicas(ctx context.Context) (*Replicas, error) {
	return call[Replicas](ctx, c, http.MethodGet, "/v1/replicas", nil)
}

// Change adds, promotes or removes a replica; every action may be repeated.
func (c *Client) Change(ctx context.Context, a Action) (*Replicas, error) {
	return call[Replicas](ctx, c, http.MethodPost, "/v1/replicas", &a)
}
