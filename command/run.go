// Package command implements the command line of masticbay.
//
// # Usage
//
//	os.Exit(command.Run(os.Args))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/job"
	"masticbay/setting"
	"masticbay/telemetry"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// usageError reports a command line with wrong arguments or flags.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// Run runs the command line and returns the exit code: 0 for success, 1 for a
// failure, 2 for wrong usage.
func Run(args []string) int {
	root := &cli.Command{
		Name:  "masticbay",
		Usage: "dispatches jobs of many sub-second tasks to targets, each task at most once",
		Commands: []*cli.Command{
			demoCommand(), siteCommand(), entryCommand(), agentCommand(), platformCommand(), targetCommand(),
			jobCommand(), tableCommand(), statusCommand(), configCommand(), loadCommand(), fleetCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{err.Error()}
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q; see masticbay help", cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	setUsageErrorHandler(root.Commands, root.OnUsageError)
	telemetry.NewLog(io.Discard, "error", "cli") // a daemon replaces this log by its own
	err := root.Run(context.Background(), args)
	return reportError(err)
}

func setUsageErrorHandler(cmds []*cli.Command, f cli.OnUsageErrorFunc) {
	for _, c := range cmds {
		c.OnUsageError = f
		setUsageErrorHandler(c.Commands, f)
	}
}

// reportError prints an error, if there is one, and returns the exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "masticbay: "+err.Error())
	if _, ok := errors.AsType[*usageError](err); ok {
		return exitUsage
	}
	if _, ok := errors.AsType[*job.ValueError](err); ok {
		return exitUsage
	}
	if _, ok := errors.AsType[*setting.KeyError](err); ok {
		return exitUsage
	}
	return exitFailed
}

// stopSignal returns a channel that receives SIGINT and SIGTERM.
func stopSignal() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM)
	return ch
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE` in TOML; the defaults apply if not set"}
}
