package process

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes JSON lines of at least the given level to w. V(1) and higher need slog.LevelDebug.
func NewLogger(w io.Writer, level slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Sampled logs one out of a fixed number of successes.
type Sampled struct {
	log   logr.Logger
	every uint64
	count atomic.Uint64
}

// NewSampled returns a logger for successes. every is the setting log.sample; 0 logs none.
func NewSampled(log logr.Logger, every int) *Sampled {
	return &Sampled{log: log, every: uint64(max(every, 0))}
}

// Next reports whether the current success is to be logged, so that its values are built only if needed.
func (s *Sampled) Next() bool {
	return s.every > 0 && s.count.Add(1)%s.every == 0
}

// Info logs a success for which Next reported true, with the setting log.sample as the value sample.
func (s *Sampled) Info(message string, values ...any) {
	s.log.Info(message, append(values, "sample", s.every)...)
}

// Signals returns a context that is canceled by SIGTERM or SIGINT. After the returned function is called, signals have
// their default effect.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
