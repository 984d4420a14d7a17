package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"masticbay/entry"
	"masticbay/setting"
	"masticbay/store"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:     "entry",
		Usage:    "runs an entry, the process that serves callers and operators",
		Flags:    []cli.Flag{configFlag()},
		Commands: []*cli.Command{endCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q of entry; see masticbay entry --help", cmd.Args().First())
			}
			cfg, err := readSettings[setting.Entry](cmd)
			if err != nil {
				return err
			}
			limit := cfg.Limits.StopTimeout.D()
			log, flush, err := setUpTelemetry("entry", cfg.Common, limit)
			if err != nil {
				return err
			}
			defer flush()
			e, err := entry.Start(cfg, entry.Options{Log: log, Store: store.NewConsul(cfg.Platform)})
			if err != nil {
				return err
			}
			return runDaemon(e, limit)
		},
	}
}
