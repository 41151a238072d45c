package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pollenlug/pollenlug/internal/transport"
)

const (
	keyDirMode  = 0o700
	keyFileMode = 0o600
)

func keysCommand() *command {
	c := newCommand("keys", "Creates a short-lived certificate authority and writes certificates and keys for nodes, for tests and measurements.")
	dir, nodes := "", ""
	c.subcommand.String(&dir, "d", "dir", "Directory to write to.")
	c.subcommand.String(&nodes, "n", "nodes", "Names of the nodes, separated by commas.")
	c.run = func(stdout, stderr io.Writer) int {
		if dir == "" || nodes == "" {
			fmt.Fprintln(stderr, "usage: pollenlug keys --dir DIR --nodes NAME,NAME")
			return ExitUsage
		}
		if err := writeKeys(dir, strings.Split(nodes, ",")); err != nil {
			fmt.Fprintln(stderr, "pollenlug:", err)
			return ExitFault
		}
		fmt.Fprintln(stdout, "wrote", dir)
		return ExitOK
	}
	return c
}

// writeKeys writes NAME.pem and NAME.key for each node, and authority.pem.
func writeKeys(dir string, nodes []string) error {
	authority, err := transport.NewDevAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, keyDirMode); err != nil {
		return err
	}
	for _, node := range nodes {
		certificate, key, root, err := authority.PEM(node)
		if err != nil {
			return err
		}
		for name, data := range map[string][]byte{node + ".pem": certificate, node + ".key": key, "authority.pem": root} {
			if err := os.WriteFile(filepath.Join(dir, name), data, keyFileMode); err != nil {
				return err
			}
		}
	}
	return nil
}
