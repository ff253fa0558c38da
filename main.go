// Command godwitspindle gives every node the same agreed service-mesh configuration and forwards calls according to it.
package main

import (
	"context"
	"os"

	"godwitspindle/cmd"
	"godwitspindle/core/config"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/demo"
	"godwitspindle/io/host"
	"godwitspindle/platform"
)

func main() {
	p := cmd.Program{
		Node:          host.RunNode,
		Platform:      platform.Run,
		CheckPlatform: platform.Check,
		Demo:          demo.Run,
		ParseRegister: config.ParseRegister,
		ParseRules:    config.ParseRules,
		Faults:        host.Faults,

		ParseCustomers: config.ParseCustomers,
		Checks: cmd.ConfigurationChecks{
			Validate: config.Validate, Warnings: warnings, Differences: store.Differences,
			Parse: platform.ParseConfiguration, Read: platform.ReadConfiguration,
		},
	}
	os.Exit(p.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

func warnings(c *wire.Content, whole bool) []cmd.Warning {
	var list []cmd.Warning
	for _, w := range config.Warnings(c, whole) {
		list = append(list, cmd.Warning{Key: w.Key, Text: w.Text})
	}
	return list
}
