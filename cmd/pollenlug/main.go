// Command pollenlug is the one binary of the system; see package cli for its commands.
package main

import (
	"os"

	"github.com/pollenlug/pollenlug/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
