package cmd

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

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
	// A hangup ends a node without a drain, but it must not end a drain that has begun.
	context.AfterFunc(ctx, func() { signal.Ignore(syscall.SIGHUP) })
	log := process.NewLogger(iv.stderr, settings.Log.Level)
	err = iv.Node(ctx, settings, log)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}
