package host

import (
	"context"

	"github.com/go-logr/logr"

	"godwitspindle/io/platform"
)

// RunNode runs one process with the given settings until ctx ends, and then stops it gracefully.
func RunNode(ctx context.Context, s *platform.Settings, log logr.Logger) error {
	h, err := New(s, log)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
