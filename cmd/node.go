package cmd

import (
	"context"
	"errors"

	"godwitspindle/io/process"
)

// nodeCommand runs one node until SIGTERM or SIGINT.
type nodeCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings"`
}

func (c *nodeCommand) run(s *session) error {
	settings, err := process.Load(c.File)
	if err != nil {
		return err
	}
	if s.Node == nil {
		return &MissingPartError{Command: "node"}
	}
	ctx, stop := process.Signals(s.ctx)
	defer stop()
	log := process.NewLogger(s.stderr, settings.Log.Level)
	err = s.Node(ctx, settings, log)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}
