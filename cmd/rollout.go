package cmd

import (
	"time"

	"godwitspindle/io/operator"
)

// rolloutCommand starts a rollout or shows the newest one of a service.
type rolloutCommand struct {
	Start  *rolloutStartCommand  `arg:"subcommand:start" help:"move the requests of a service to another release"`
	Status *rolloutStatusCommand `arg:"subcommand:status" help:"show the newest rollout of a service"`
}

type rolloutStartCommand struct {
	Service  string        `arg:"positional,required" placeholder:"SERVICE" help:"name of the service"`
	Release  string        `arg:"--release,required" placeholder:"RELEASE" help:"release that the new endpoints announce"`
	Duration time.Duration `arg:"--duration" placeholder:"TIME" default:"10m" help:"time by which the rollout must end"`
	ConnectionFlags
}

type rolloutStatusCommand struct {
	Service string `arg:"positional,required" placeholder:"SERVICE" help:"name of the service"`
	ConnectionFlags
}

func (c *rolloutCommand) run(iv *invocation) error {
	switch {
	case c.Start != nil:
		return c.Start.run(iv)
	case c.Status != nil:
		return c.Status.run(iv)
	}
	return &InputError{Name: "rollout", Expected: "start SERVICE or status SERVICE"}
}

func (c *rolloutStartCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := client.StartRollout(iv.ctx, operator.RolloutOrder{Service: c.Service, Release: c.Release, Duration: operator.Duration(c.Duration)})
	if err != nil {
		return err
	}
	return iv.printRollout(r, c.JSON)
}

func (c *rolloutStatusCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := client.Rollout(iv.ctx, c.Service)
	if err != nil {
		return err
	}
	return iv.printRollout(r, c.JSON)
}

func (iv *invocation) printRollout(r *operator.Rollout, asJSON bool) error {
	if asJSON {
		return iv.printJSON(r)
	}
	iv.printf("%s\n", r)
	return nil
}
