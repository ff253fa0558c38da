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

func (c *nodeCommand) run(iv *invocation) error {
	settings, err := process.Load(c.File)
	if err != nil {
		return err
	}
	if iv.Node == nil {
		return &NotBuiltError{Command: "node"}
	}
	ctx, stop := process.Signals(iv.ctx)
	defer stop()
	log := process.NewLogger(iv.stderr, settings.Log.Level)
	err = iv.Node(ctx, settings, log)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}
