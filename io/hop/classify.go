package hop

import (
	"context"
	"errors"
	"net/http"

	"godwitspindle/core/outcome"
)

// refusedStream is the HTTP/2 code REFUSED_STREAM (RFC 9113 section 8.7: no application processing was done).
const refusedStream = 7

// net/http exports neither values nor types for these errors, so they are recognized by their text. TestCallFaults provokes
// them on real sockets to find a change of the text; an unrecognized text only makes the outcome Unknown.
const (
	textGoAway      = "http2: Transport received Server's graceful shutdown GOAWAY" // stream id above the last processed one
	textUnusable    = "http2: client conn not usable"                               // nothing was sent
	textUnopened    = "http2: client conn could not be established"                 // nothing was sent
	statusRefused   = http.StatusServiceUnavailable
	statusDeadline  = http.StatusGatewayTimeout
	statusBroken    = http.StatusBadGateway
	statusCancelled = 499 // customary for a request that its caller cancelled
)

// streamError has the fields of net/http's unexported HTTP/2 stream error, so errors.As can convert that error to a streamError.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error makes streamError an error, as errors.As requires.
func (e streamError) Error() string { return "stream error" }

func failure(code outcome.Code, kind outcome.Kind, call, detail string, err error) *outcome.Failure {
	status := statusRefused
	switch {
	case code == outcome.DeadlineExceeded:
		status = statusDeadline
	case code == outcome.Canceled:
		status = statusCancelled
	case kind != outcome.NotRun:
		status = statusBroken
	}
	return &outcome.Failure{Code: code, Kind: kind, Status: status, Detail: detail, Call: call, Err: err}
}

// classify turns the error of a round trip into a failure, of kind NotRun only if the peer provably did not process the request.
func classify(ctx context.Context, call string, err error) *outcome.Failure {
	if unprocessed(err) {
		return failure(outcome.Refused, outcome.NotRun, call, "the peer refused the stream or closes the connection, and did not process the call", err)
	}
	switch ctx.Err() {
	case nil:
		return failure(outcome.Reset, outcome.Unknown, call, "the connection to the peer broke before its answer arrived", err)
	case context.DeadlineExceeded:
		return failure(outcome.DeadlineExceeded, outcome.Unknown, call, "the deadline passed before the peer answered", err)
	}
	return failure(outcome.Canceled, outcome.Unknown, call, "the caller cancelled the call", err)
}

func unprocessed(err error) bool {
	var s streamError
	if errors.As(err, &s) {
		return s.Code == refusedStream
	}
	switch err.Error() {
	case textGoAway, textUnusable, textUnopened:
		return true
	}
	return false
}
