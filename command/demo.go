package command

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs a small installation on loopback, kills parts of it and checks the guarantees to callers",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "jobs", Value: 300, Usage: "number of jobs"},
			&cli.DurationFlag{Name: "for", Value: 8 * time.Second, Usage: "time over which the jobs are submitted"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "seed of job sizes and run times"},
			&cli.BoolFlag{Name: "verbose", Usage: "log to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Int("jobs") < 1 {
				return usagef("--jobs: %d is not allowed; want at least 1", cmd.Int("jobs"))
			}
			cfg := demo.Config{Jobs: cmd.Int("jobs"), SubmitDuration: cmd.Duration("for"), Seed: cmd.Int("seed")}
			if cmd.Bool("verbose") {
				cfg.Log = os.Stderr
			}
			rep, err := demo.Run(ctx, cfg)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(os.Stdout).Encode(rep); err != nil {
				return err
			}
			if rep.StartedTwice+rep.NotRunButStarted+rep.PartialAnswers > 0 {
				return errors.New("a guarantee was violated; see the counts above")
			}
			return nil
		},
	}
}
