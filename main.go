// Command godwitspindle distributes one agreed service-mesh configuration to every proxy and carries calls by it.
package main

import (
	"context"
	"os"

	"godwitspindle/cmd"
)

func main() {
	p := cmd.Program{}
	os.Exit(p.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
