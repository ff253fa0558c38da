package peer

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
	"godwitspindle/io/rpc/rpcconnect"
)

// NotReplicaError reports a call of a method that this node does not serve, such as one that only replicas serve.
type NotReplicaError struct{ Method string }

// Error returns a message with the method.
func (e *NotReplicaError) Error() string { return e.Method + ": this node is not a replica" }

// LeavingError reports that the node is shutting down and answers no more polls.
type LeavingError struct{}

// Error returns the text of the response to a poll.
func (*LeavingError) Error() string { return "this node is leaving" }

// Server implements the protocol between nodes by one function field per method; a call of a nil field fails with
// *NotReplicaError.
type Server struct {
	OnDeliver  func(m agreement.Message)
	OnSync     func(ctx context.Context, r *rpc.SyncRequest, number uint64) *rpc.SyncResponse
	OnFloor    func(ctx context.Context) (uint64, error)
	OnPropose  func(ctx context.Context, c *wire.Command) (*wire.Result, error)
	OnAnnounce func(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error)
	OnStatus   func(ctx context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error)
	OnReplicas func(ctx context.Context, r *rpc.ReplicasRequest) (*rpc.ReplicasResponse, error)
	OnQuota    func(ctx context.Context, r *rpc.QuotaRequest) (*rpc.QuotaResponse, error)
	OnOutcomes func(ctx context.Context, r *rpc.OutcomesRequest) (*rpc.OutcomesResponse, error)
}

// NewHandler returns the path and the handler of the protocol between nodes.
//
// Connect never compresses the responses: large deltas are already packed with zstd, and a gzip writer for each response in
// progress uses 0.3 MB per follower of a relay.
//
// The size of requests is limited by procedure; only a replica takes long ones.
func NewHandler(s *Server) (string, http.Handler) {
	limited := func(bytes int) (string, http.Handler) {
		path, handler := rpcconnect.NewMeshHandler(s, connect.WithCompressMinBytes(math.MaxInt), connect.WithReadMaxBytes(bytes))
		return path, http.MaxBytesHandler(handler, int64(bytes)) // connect would read on behind its limit
	}
	path, handler := limited(maxRequestBytes)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	if s.OnDeliver != nil {
		_, handler = limited(maxStateBytes)
		mux.Handle(rpcconnect.MeshDeliverProcedure, handler)
	}
	if s.OnPropose != nil {
		_, handler = limited(maxProposalBytes)
		mux.Handle(rpcconnect.MeshProposeProcedure, handler)
	}
	return path, mux
}

func unavailable(method string, err error) error {
	return connect.NewError(connect.CodeUnavailable, fmt.Errorf("%s: %w", method, err))
}

func notReplica(method string) error {
	return connect.NewError(connect.CodeFailedPrecondition, &NotReplicaError{Method: method})
}

// Deliver passes agreement messages to OnDeliver and answers with the clock of this node.
func (s *Server) Deliver(_ context.Context, r *connect.Request[rpc.DeliverRequest]) (*connect.Response[rpc.DeliverResponse], error) {
	if s.OnDeliver == nil {
		return nil, notReplica("deliver")
	}
	for _, m := range r.Msg.GetMessages() {
		s.OnDeliver(Decode(m))
	}
	return connect.NewResponse(&rpc.DeliverResponse{Time: time.Now().UnixMilli()}), nil
}

// Sync answers one long poll; it fails with CodeUnavailable while the node is shutting down.
func (s *Server) Sync(ctx context.Context, r *connect.Request[rpc.SyncRequest]) (*connect.Response[rpc.SyncResponse], error) {
	if s.OnSync == nil {
		return nil, notReplica("sync")
	}
	number, _ := strconv.ParseUint(r.Header().Get(headerNumber), 10, 64) // 0 without a valid header
	resp := s.OnSync(ctx, r.Msg, number)
	if resp == nil {
		return nil, unavailable("sync", &LeavingError{})
	}
	return connect.NewResponse(resp), nil
}

// Floor answers with a version that a quorum confirmed.
func (s *Server) Floor(ctx context.Context, _ *connect.Request[rpc.FloorRequest]) (*connect.Response[rpc.FloorResponse], error) {
	if s.OnFloor == nil {
		return nil, notReplica("floor")
	}
	v, err := s.OnFloor(ctx)
	if err != nil {
		return nil, unavailable("floor", err)
	}
	return connect.NewResponse(&rpc.FloorResponse{Version: v}), nil
}

// Propose answers with the result of a command.
func (s *Server) Propose(ctx context.Context, r *connect.Request[rpc.ProposeRequest]) (*connect.Response[rpc.ProposeResponse], error) {
	if s.OnPropose == nil {
		return nil, notReplica("propose")
	}
	result, err := s.OnPropose(ctx, r.Msg.GetCommand())
	if err != nil {
		return nil, unavailable("propose", err)
	}
	return connect.NewResponse(&rpc.ProposeResponse{Result: result}), nil
}

// Announce handles joins and leaves of nodes and their endpoints.
func (s *Server) Announce(ctx context.Context, r *connect.Request[rpc.AnnounceRequest]) (*connect.Response[rpc.AnnounceResponse], error) {
	if s.OnAnnounce == nil {
		return nil, notReplica("announce")
	}
	resp, err := s.OnAnnounce(ctx, r.Msg)
	if err != nil {
		return nil, unavailable("announce", err)
	}
	return connect.NewResponse(resp), nil
}

// Status answers with the status of the control plane and its nodes.
func (s *Server) Status(ctx context.Context, r *connect.Request[rpc.StatusRequest]) (*connect.Response[rpc.StatusResponse], error) {
	if s.OnStatus == nil {
		return nil, notReplica("status")
	}
	resp, err := s.OnStatus(ctx, r.Msg)
	if err != nil {
		return nil, unavailable("status", err)
	}
	return connect.NewResponse(resp), nil
}

// Replicas answers with the identity of this replica or, on the leader, lists or changes the member set.
func (s *Server) Replicas(ctx context.Context, r *connect.Request[rpc.ReplicasRequest]) (*connect.Response[rpc.ReplicasResponse], error) {
	if s.OnReplicas == nil {
		return nil, notReplica("replicas")
	}
	resp, err := s.OnReplicas(ctx, r.Msg)
	if err != nil {
		return nil, unavailable("replicas", err)
	}
	return connect.NewResponse(resp), nil
}

// Quota answers a node's request for tokens of customers' quotas.
func (s *Server) Quota(ctx context.Context, r *connect.Request[rpc.QuotaRequest]) (*connect.Response[rpc.QuotaResponse], error) {
	if s.OnQuota == nil {
		return nil, notReplica("quota")
	}
	resp, err := s.OnQuota(ctx, r.Msg)
	if err != nil {
		return nil, unavailable("quota", err)
	}
	return connect.NewResponse(resp), nil
}

// Outcomes takes a node's counts of the answers of services with a running rollout.
func (s *Server) Outcomes(ctx context.Context, r *connect.Request[rpc.OutcomesRequest]) (*connect.Response[rpc.OutcomesResponse], error) {
	if s.OnOutcomes == nil {
		return nil, notReplica("outcomes")
	}
	resp, err := s.OnOutcomes(ctx, r.Msg)
	if err != nil {
		return nil, unavailable("outcomes", err)
	}
	return connect.NewResponse(resp), nil
}
