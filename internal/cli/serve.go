package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/wiring"
	"github.com/pollenlug/pollenlug/internal/devcluster"
	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/settings"
	"github.com/pollenlug/pollenlug/internal/transport"
)

// signalContext returns a context that ends with the first SIGTERM or SIGINT. Further signals have no effect until the
// returned function is called; after that, a signal ends the process.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func serveCommand() *command {
	c := newCommand("serve", "Runs one entry node.")
	path := ""
	c.subcommand.String(&path, "s", "settings", "JSON file with the node's settings.")
	c.run = func(_, stderr io.Writer) int {
		s, err := settings.Node(path)
		if err != nil {
			return fail(stderr, err)
		}
		log := settings.Logger(s.LogLevel).WithField("node", s.Node)
		credentials, err := transport.LoadCredentials(s.NodeTls, log)
		if err != nil {
			return fail(stderr, err)
		}
		n, err := wiring.NewNode(s, credentials, log)
		if err != nil {
			return fail(stderr, err)
		}
		return serve(n, log)
	}
	return c
}

// serve runs a node until it has drained after a signal or a reclaim notice.
func serve(n *node.Node, log *logrus.Entry) int {
	ctx, stop := signalContext()
	defer stop()
	if err := n.Run(ctx); err != nil {
		log.WithError(err).Error("node stopped")
		return ExitFault
	}
	return ExitOK
}

func standinCommand() *command {
	c := newCommand("standin", "Runs stand-ins for the platform, engines and services, for tests and measurements.")
	path := ""
	c.subcommand.String(&path, "s", "settings", "JSON file with the stand-ins' settings.")
	c.run = func(stdout, stderr io.Writer) int {
		s, err := settings.Standin(path)
		if err != nil {
			return fail(stderr, err)
		}
		standins, err := devcluster.StartStandins(s, logrus.NewEntry(settings.Logger("")))
		if err != nil {
			return fail(stderr, err)
		}
		defer standins.Close()
		fmt.Fprintln(stdout, "ready all")
		ctx, stop := signalContext()
		defer stop()
		<-ctx.Done()
		return ExitOK
	}
	return c
}

func devCommand() *command {
	c := newCommand("dev", "Runs three entry nodes and all stand-ins in one process on loopback.")
	opts := devcluster.Options{Port: devcluster.DefaultPort}
	level := "warning"
	c.subcommand.String(&opts.ConfigDir, "c", "config-dir", "Operators' folder; unset uses a built-in example.")
	c.subcommand.Int(&opts.Port, "p", "port", "Port of the first entry node; the next nodes take the ports after it.")
	c.subcommand.Int(&opts.FaultPort, "f", "fault-port", "Port of the stand-ins' fault API; off when unset.")
	c.subcommand.UInt64(&opts.Seed, "", "seed", "Seed of the stand-ins.")
	c.subcommand.String(&opts.Policy, "", "policy", "Routing policy: cost-aware, round-robin, least-loaded or prefix-only.")
	c.subcommand.String(&level, "l", "log-level", "debug, info, warning or error.")
	c.run = func(stdout, stderr io.Writer) int {
		opts.Log = logrus.NewEntry(settings.Logger(level))
		cluster, err := devcluster.Start(opts)
		if err != nil {
			return fail(stderr, err)
		}
		for _, line := range cluster.Addresses() {
			fmt.Fprintln(stdout, line)
		}
		fmt.Fprintln(stdout, "ready all")
		ctx, stop := signalContext()
		defer stop()
		<-ctx.Done()
		stop()
		drainCtx, cancel := context.WithTimeout(context.Background(), devDrainTimeout)
		defer cancel()
		cluster.Stop(drainCtx)
		return ExitOK
	}
	return c
}

// devDrainTimeout bounds the drain of a development cluster, whose operator waits at the terminal.
const devDrainTimeout = 30 * time.Second
