package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"masticbay/setting"
	"masticbay/telemetry"
	"masticbay/web"
)

// readSettings reads the file that the flag names, or returns the defaults.
func readSettings[T setting.Role](cmd *cli.Command) (cfg T, err error) {
	path := cmd.String("config")
	if path == "" {
		cfg = setting.Default[T]()
		return cfg, setting.Check(&cfg)
	}
	return setting.Read[T](path)
}

// daemon is a daemon that is running.
type daemon interface {
	Stop(ctx context.Context) error
	Done() <-chan struct{} // closed when the daemon has ended
}

// runDaemon runs a daemon until a signal asks it to stop, and stops it gracefully
// within limit. It is an error if the daemon ends by itself.
func runDaemon(d daemon, limit time.Duration) error {
	select {
	case <-stopSignal():
	case <-d.Done():
		return errors.New("the daemon has ended by itself; see its log")
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return d.Stop(ctx)
}

// setUpTelemetry sets up the log and the traces of a daemon.
func setUpTelemetry(role string, c setting.Common, limit time.Duration) (log zerolog.Logger, flush func(), err error) {
	web.AllowSlowStop(limit + stopMargin)
	log = telemetry.NewLog(os.Stderr, c.LogLevel, role)
	stop, err := telemetry.StartTraces(role, c.Traces, c.TraceRatio)
	if err != nil {
		return log, nil, err
	}
	return log, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
		defer cancel()
		_ = stop(ctx)
	}, nil
}

// stopMargin is what a stop may take beside its own limit.
const stopMargin = 10 * time.Second

// openAppend opens a file to append to; an empty path discards.
func openAppend(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
