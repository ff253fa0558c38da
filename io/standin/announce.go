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

// announcement is the body of POST /announce, as the design page states it.
type announcement struct {
	Service     string         `json:"service"`
	Endpoint    string         `json:"endpoint"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Load        float64        `json:"load"`
	Incarnation uint64         `json:"incarnation"`
}

type departure struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

// Leave announces that the server is leaving; calls in flight go on. The error is an *AnnounceError.
func (s *Server) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	return s.post(ctx, "/leave", departure{Service: s.service, Endpoint: s.endpoint})
}

// Announce announces the server once. The error is an *AnnounceError.
func (s *Server) Announce(ctx context.Context) error {
	s.mu.Lock()
	if s.server == nil {
		s.mu.Unlock()
		return &AnnounceError{Err: net.ErrClosed} // a dead process is silent
	}
	a := announcement{
		Service: s.service, Endpoint: s.endpoint, Address: s.address, Slots: s.slots, Connections: s.connections,
		Incarnation: s.incarnation,
	}
	s.mu.Unlock()
	a.Load = s.load(float64(s.running.Load()) / float64(s.slots))
	return s.post(ctx, "/announce", a)
}

// renew announces the server until it leaves; a crashed server is silent.
func (s *Server) renew(ctx context.Context) {
	for {
		s.mu.Lock()
		left, dead := s.left, s.server == nil
		s.mu.Unlock()
		if left {
			return
		}
		wait := renewPeriod
		if dead {
			wait = retryPeriod
		}
		if !dead {
			if err := s.Announce(ctx); err != nil {
				s.log.V(1).Info("announcement failed", "endpoint", s.endpoint, "error", err.Error())
				wait = retryPeriod
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
