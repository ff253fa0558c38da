package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// announcement is the JSON body of POST /announce.
type announcement struct {
	Service     string         `json:"service"`
	Endpoint    string         `json:"endpoint"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Load        float64        `json:"load"`
	Incarnation uint64         `json:"incarnation"`
}

// leaveRequest is the JSON body of POST /leave.
type leaveRequest struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

// Leave tells the node that the server is leaving and ends the periodic announcements; calls in flight continue. The error is
// an *AnnounceError.
func (s *Server) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	return s.post(ctx, "/leave", leaveRequest{Service: s.service, Endpoint: s.endpoint})
}

// Announce sends one announcement to the node. The error is an *AnnounceError; it wraps net.ErrClosed while the server is crashed.
func (s *Server) Announce(ctx context.Context) error {
	s.mu.Lock()
	if s.server == nil {
		s.mu.Unlock()
		return &AnnounceError{Err: net.ErrClosed} // a crashed process sends no announcements
	}
	a := announcement{
		Service: s.service, Endpoint: s.endpoint, Address: s.address, Slots: s.slots, Connections: s.connections,
		Incarnation: s.incarnation,
	}
	s.mu.Unlock()
	a.Load = s.reportedLoad(float64(s.running.Load()) / float64(s.slots))
	return s.post(ctx, "/announce", a)
}

// announceUntilLeave sends periodic announcements until the server leaves or ctx ends; a crashed server sends none.
func (s *Server) announceUntilLeave(ctx context.Context) {
	for {
		s.mu.Lock()
		leaving, crashed := s.leaving, s.server == nil
		s.mu.Unlock()
		if leaving {
			return
		}
		wait := announcePeriod
		if crashed {
			wait = announceRetryPeriod
		}
		if !crashed {
			if err := s.Announce(ctx); err != nil {
				s.log.V(1).Info("announcement to the node failed; retrying", "endpoint", s.endpoint, "error", err.Error())
				wait = announceRetryPeriod
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Server) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &AnnounceError{Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.node.String()+path, bytes.NewReader(data))
	if err != nil {
		return &AnnounceError{Err: err}
	}
	p, err := s.client.Do(r)
	if err != nil {
		return &AnnounceError{Err: err}
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, 4<<10))
	if p.StatusCode >= http.StatusMultipleChoices {
		return &AnnounceError{Status: p.StatusCode}
	}
	return nil
}
