package cli

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/edge"
	"github.com/pollenlug/pollenlug/internal/logsink"
	"github.com/pollenlug/pollenlug/internal/settings"
	"github.com/pollenlug/pollenlug/platform"
)

// settingsPollInterval is how often the settings file is read again, because it may change without a signal.
const settingsPollInterval = 5 * time.Second

// reloadSettings reloads the settings file after each SIGHUP and every settingsPollInterval until ctx ends.
func reloadSettings(ctx context.Context, sighup <-chan os.Signal, path string, node *edge.Node, log *logrus.Entry) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			log.Info("SIGHUP received; reloading settings")
		case <-ticker.C:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("reloading settings failed; keeping the previous settings")
			continue
		}
		node.Reload(s)
	}
}

// redirectStandardLog sends what libraries write to the standard logger to log, as warnings cut to maxLibraryLine bytes.
// The returned function ends that.
func redirectStandardLog(log *logrus.Entry) (restore func()) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log})
	return func() { stdlog.SetOutput(os.Stderr) }
}

// maxLibraryLine limits a line of a library, which may quote what others have sent.
const maxLibraryLine = 120

// libraryLog is a writer that logs each write as one line.
type libraryLog struct{ log *logrus.Entry }

// Write implements io.Writer.
func (l libraryLog) Write(p []byte) (int, error) {
	l.log.WithField("text", strings.TrimSpace(string(p[:min(len(p), maxLibraryLine)]))).Warning("message of a library")
	return len(p), nil
}

func edgeCommand() *command {
	c := newCommand("edge", "Runs one node on the users' platform, with the platform's settings file.")
	path, level := os.Getenv(platform.SettingsVariable), "info"
	c.subcommand.String(&path, "s", "settings", "The platform's settings file; default: the path in "+platform.SettingsVariable+".")
	c.subcommand.String(&level, "l", "log-level", "debug, info, warning or error.")
	c.run = func(stdout, stderr io.Writer) int {
		sighup := make(chan os.Signal, 1)
		signal.Notify(sighup, syscall.SIGHUP) // first, because the default action of SIGHUP ends the process
		defer signal.Stop(sighup)
		s, err := platform.LoadSettings(path)
		if err != nil {
			return fail(stderr, err)
		}
		sink := logsink.New(stdout)
		defer sink.Close()
		logger := settings.Logger(level)
		logger.SetOutput(sink)
		log := logrus.NewEntry(logger).WithField("node", s.Node)
		// net/http reports bytes that a server sends unasked, with a part of them, to the standard logger.
		defer redirectStandardLog(log)()
		ctx, stop := signalContext()
		defer stop()
		node := platform.NewNode(s, log)
		go reloadSettings(ctx, sighup, path, node, log)
		if err := node.Run(ctx); err != nil {
			log.WithError(err).Error("node failed")
			return ExitFault
		}
		return ExitOK
	}
	return c
}
