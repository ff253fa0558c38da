// Command godwitspindle distributes one agreed service-mesh configuration to every proxy and carries calls by it.
package main

import (
	"os"

	"godwitspindle/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
