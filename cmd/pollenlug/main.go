// Command pollenlug is the only binary of the system. Package cli defines its subcommands.
package main

import (
	"os"

	"github.com/pollenlug/pollenlug/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
