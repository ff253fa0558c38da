package standin

import (
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request headers that control the server, and response headers that let a client verify what it did.
const (
	HeaderFault = "X-Fault"   // request: one of the Fault constants
	HeaderID    = "X-Id"      // request and response: any value, copied to the response
	HeaderSum   = "X-Sum"     // response: CRC-32C of the request body, in hexadecimal
	HeaderRuns  = "X-Runs"    // response: number of runs of the idempotency key, including this one; 0 without a key
	HeaderSize  = "X-Size"    // request: length of the response body in bytes, at most 64 MiB; without it the body is one short line
	HeaderDelay = "X-Latency" // request: Go duration that replaces the configured latency
)

// Values of HeaderFault.
const (
	FaultCrash    = "crash"    // the server crashes after it has counted the run
	FaultStall    = "stall"    // the request gets no response; it ends when it is canceled or the server closes
	FaultReset    = "reset"    // the connection is reset before the first byte of the response
	FaultHead     = "head"     // the connection is reset after the response headers
	FaultTruncate = "truncate" // the connection is reset one byte before the end of the body
	FaultShed     = "shed"     // the response is a 503 with Retry-After; the request does not run
	FaultMesh     = "mesh"     // the response carries forged Mesh- headers and a header private to the connection
	FaultTrailer  = "trailer"  // the response is chunked and has the trailer X-Trailer
)

const maxAnswerBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the value of HeaderSum for a request body, so that a client can verify that a response belongs to its request.
func Sum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.Checksum(body, castagnoli)), 16)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for highest := s.peak.Load(); running > highest && !s.peak.CompareAndSwap(highest, running); highest = s.peak.Load() {
	}
	fault := r.Header.Get(HeaderFault)
	if fault == FaultShed || (s.retryAfter > 0 && running > int64(s.slots)) {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(s.retryAfter, time.Second)/time.Second)))
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	digest := crc32.New(castagnoli)
	if _, err := io.Copy(digest, r.Body); err != nil {
		http.Error(w, "request body ended early", http.StatusBadRequest)
		return
	}
	h := w.Header()
	maps.Copy(h, s.answerHeader)
	h.Set(HeaderRuns, strconv.Itoa(s.countRun(r.Header.Get("Idempotency-Key"))))
	h.Set(HeaderID, r.Header.Get(HeaderID))
	h.Set(HeaderSum, strconv.FormatUint(uint64(digest.Sum32()), 16))
	if !s.simulateWork(r, fault) {
		return
	}
	s.writeAnswer(w, r, fault)
}

// countRun counts a run and returns the number of runs of the key, 0 without a key. The request counts as run from here on.
func (s *Server) countRun(key string) int {
	s.served.Add(1)
	if key == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[key]; !ok && len(s.runs) >= maxCountedKeys {
		clear(s.runs) // bounds memory in a long demo
	}
	s.runs[key]++
	return s.runs[key]
}

// simulateWork waits for the latency, or simulates a crash or a stall, and reports whether the request gets a response.
func (s *Server) simulateWork(r *http.Request, fault string) bool {
	latency := s.latency
	if d, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		latency = d
	}
	if fault == FaultCrash {
		s.Crash()
		return false
	}
	if fault == FaultStall {
		select {
		case <-r.Context().Done():
		case <-s.closing:
		}
		return false
	}
	if latency <= 0 {
		return true
	}
	t := time.NewTimer(latency)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, fault string) {
	body := []byte(fmt.Sprintf("%s %s %s\n", s.endpoint, r.Method, r.URL.RequestURI()))
	if n, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil && n >= 0 && n <= maxAnswerBytes {
		body = make([]byte, n)
	}
	h := w.Header()
	switch fault {
	case FaultReset:
		resetConnection(w)
	case FaultHead, FaultTruncate:
		h.Set("Content-Length", strconv.Itoa(len(body)+1))
		if fault == FaultHead {
			body = nil
		}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		resetConnection(w)
	case FaultMesh:
		h.Set("Mesh-Outcome", "notrun")
		h.Set("Mesh-Code", "overload")
		h.Set("Mesh-Call", "forged")
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "for one connection")
		_, _ = w.Write(body)
	case FaultTrailer:
		h.Set("Trailer", "X-Trailer")
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		h.Set("X-Trailer", Sum(body))
	default:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
