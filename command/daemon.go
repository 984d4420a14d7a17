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

// readSettings reads the file that the flag --config names, or returns the
// defaults if the flag is not set.
func readSettings[T setting.Role](cmd *cli.Command) (cfg T, err error) {
	path := cmd.String("config")
	if path == "" {
		cfg = setting.Default[T]()
		return cfg, setting.Check(&cfg)
	}
	return setting.Read[T](path)
}

// daemon is a running entry or agent.
type daemon interface {
	Stop(ctx context.Context) error
	Done() <-chan struct{} // closed when the daemon has ended
}

// runDaemon waits for SIGINT or SIGTERM and then stops the daemon gracefully
// within limit. It returns an error if the daemon ends by itself.
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

// setUpTelemetry sets up the log and the traces of a daemon. The returned function
// flushes the traces.
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

// stopMargin is the time that a stop may take in addition to its limit.
const stopMargin = 10 * time.Second

// openAppend opens a file for appending. It returns a nil writer for an empty
// path.
func openAppend(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
