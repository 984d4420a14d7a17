package command

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"masticbay/setting"
	"masticbay/target"
	"masticbay/telemetry"
	"masticbay/web"
)

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:     "target",
		Usage:    "runs a stand-in for a target, for tests; lists and drains targets",
		Flags:    []cli.Flag{configFlag()},
		Commands: []*cli.Command{targetListCommand(), drainCommand("drain", true), drainCommand("undrain", false)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q of target; see masticbay target --help", cmd.Args().First())
			}
			return runTarget(cmd)
		},
	}
}

// targetStopTimeout limits a planned stop of the stand-in.
const targetStopTimeout = 2 * time.Minute

func runTarget(cmd *cli.Command) error {
	cfg, err := readSettings[setting.Target](cmd)
	if err != nil {
		return err
	}
	web.AllowSlowStop(targetStopTimeout)
	log := telemetry.NewLog(os.Stderr, cfg.LogLevel, "target")
	file, err := openAppend(cfg.Journal)
	if err != nil {
		return err
	}
	srv, err := target.Start(target.Config{
		Address: cfg.HTTP, AgentURL: cfg.Agent, Name: cfg.Name, Service: cfg.Service,
		Slots: cfg.Slots, Median: cfg.Median.D(), Sigma: cfg.Sigma, Speed: cfg.Speed,
		Seed: cfg.Seed, AnnounceInterval: cfg.AnnounceInterval.D(), Journal: target.NewJournal(file),
	})
	if err != nil {
		return err
	}
	log.Info().Str("name", cfg.Name).Str("http", srv.Address()).Msg("target stand-in started")
	<-stopSignal()
	ctx, cancel := context.WithTimeout(context.Background(), targetStopTimeout)
	defer cancel()
	return srv.Close(ctx)
}
