package operator

import (
	"context"
	"mime"
	"net/http"
)

// actionList is the action of GET /v1/replicas.
const actionList = "list"

func (s *Server) serveReplicaList(w http.ResponseWriter, r *http.Request) *Problem {
	return s.serveReplicaAction(w, r, ReplicaAction{Action: actionList})
}

func (s *Server) serveReplicaChange(w http.ResponseWriter, r *http.Request) *Problem {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return malformedProblem("Content-Type: expected application/json")
	}
	var a ReplicaAction
	if err := decodeObject(w, r, maxTextBytes, &a); err != nil {
		return malformedProblem(err.Error())
	}
	if a.Action != ActionAdd && a.Action != ActionPromote && a.Action != ActionRemove {
		return malformedProblem("action: expected add, promote or remove")
	}
	if a.Name == "" {
		return malformedProblem("name: expected the name of a replica")
	}
	return s.serveReplicaAction(w, r, a)
}

func (s *Server) serveReplicaAction(w http.ResponseWriter, r *http.Request, a ReplicaAction) *Problem {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	list, err := s.replicas(ctx, a.Action, a.Name)
	if err != nil {
		return s.problemFor(err)
	}
	return s.writeJSON(w, list)
}

// Replicas returns the control replicas as the leader sees them.
func (c *Client) Replicas(ctx context.Context) (*Replicas, error) {
	return call[Replicas](ctx, c, http.MethodGet, "/v1/replicas", nil)
}

// ChangeReplica adds, promotes or removes a replica; every action is idempotent.
func (c *Client) ChangeReplica(ctx context.Context, a ReplicaAction) (*Replicas, error) {
	return call[Replicas](ctx, c, http.MethodPost, "/v1/replicas", &a)
}
