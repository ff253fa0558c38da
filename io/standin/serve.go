package standin

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Headers by which a client tells the server what to do and checks what it did.
const (
	HeaderFault = "X-Fault"   // one of the faults
	HeaderID    = "X-Id"      // echoed
	HeaderSum   = "X-Sum"     // CRC-32C of the request body, in hexadecimal
	HeaderRuns  = "X-Runs"    // runs of the idempotency key so far
	HeaderSize  = "X-Size"    // bytes of the answer's body; the default body is short
	HeaderDelay = "X-Latency" // replaces the latency for one request
)

// Faults that a request can ask for.
const (
	FaultCrash    = "crash"    // the server dies when it runs the request
	FaultStall    = "stall"    // no answer until the request is cancelled
	FaultReset    = "reset"    // the connection is reset before the first byte of an answer
	FaultHead     = "head"     // the connection is reset after the head of the answer
	FaultTruncate = "truncate" // the connection ends in the middle of the body
	FaultShed     = "shed"     // 503 with Retry-After, not run
	FaultMesh     = "mesh"     // the answer claims headers with a meaning inside the mesh
	FaultTrailer  = "trailer"  // the answer is chunked and has the trailer X-Trailer
)

const maxSizeBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the checksum by which a client verifies that an answer belongs to its request.
func Sum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.Checksum(body, castagnoli)), 16)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for held := s.peak.Load(); running > held && !s.peak.CompareAndSwap(held, running); held = s.peak.Load() {
	}
	fault := r.Header.Get(HeaderFault)
	if fault == FaultShed || (s.shed > 0 && running > int64(s.slots)) {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(s.shed, time.Second)/time.Second)))
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	digest := crc32.New(castagnoli)
	if _, err := io.Copy(digest, r.Body); err != nil {
		http.Error(w, "body broke off", http.StatusBadRequest)
		return
	}
	h := w.Header()
	h.Set(HeaderRuns, strconv.Itoa(s.count(r.Header.Get("Idempotency-Key"))))
	h.Set(HeaderID, r.Header.Get(HeaderID))
	h.Set(HeaderSum, strconv.FormatUint(uint64(digest.Sum32()), 16))
	if !s.work(r, fault) {
		return
	}
	s.answer(w, r, fault)
}

// count enters a run; the request counts as run from here on.
func (s *Server) count(key string) int {
	s.served.Add(1)
	if key == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[key]; !ok && len(s.runs) >= maxKeys {
		clear(s.runs) // bounds the memory of a long demo
	}
	s.runs[key]++
	return s.runs[key]
}

// work takes the latency and reports whether there will be an answer.
func (s *Server) work(r *http.Request, fault string) bool {
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
		case <-s.stalled:
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

func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault string) {
	body := []byte(fmt.Sprintf("%s %s %s\n", s.endpoint, r.Method, r.URL.RequestURI()))
	if n, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil && n >= 0 && n <= maxSizeBytes {
		body = make([]byte, n)
	}
	h := w.Header()
	switch fault {
	case FaultReset:
		reset(w)
	case FaultHead, FaultTruncate:
		h.Set("Content-Length", strconv.Itoa(len(body)+1))
		if fault == FaultHead {
			body = nil
		}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		reset(w)
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

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
