// Command godwitspindle gives every node the same agreed service-mesh configuration and forwards calls according to it.
package main

import (
	"context"
	"os"

	"godwitspindle/cmd"
	"godwitspindle/core/config"
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
	}
	os.Exit(p.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
