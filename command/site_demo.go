package command

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"masticbay/demo"
	"masticbay/telemetry"
)

func siteDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs entries and agents on stand-ins for the users' platform, kills the home (the coordinator that places tasks) and checks the guarantees to callers",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "jobs", Value: 300, Usage: "number of jobs"},
			&cli.DurationFlag{Name: "for", Value: 8 * time.Second, Usage: "time over which the jobs are submitted"},
			&cli.BoolFlag{Name: "verbose", Usage: "log to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Int("jobs") < 1 {
				return usagef("--jobs: %d is not allowed; want at least 1", cmd.Int("jobs"))
			}
			cfg := demo.SiteConfig{Jobs: cmd.Int("jobs"), SubmitDuration: cmd.Duration("for"), Log: zerolog.Nop()}
			if cmd.Bool("verbose") {
				cfg.Log = telemetry.NewLog(os.Stderr, "info", "site")
			}
			rep, err := demo.RunSite(ctx, cfg)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(os.Stdout).Encode(rep); err != nil {
				return err
			}
			if rep.HasViolations() {
				return errors.New("a guarantee was violated; see the counts above")
			}
			return nil
		},
	}
}
