package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"masticbay/identity"
	"masticbay/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "submits jobs to entries in an open loop and reports response times",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: "entries", Value: "http://127.0.0.1:7401", Usage: "`URLS` of entries, separated by commas"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "jobs submitted a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration of the run"},
			&cli.IntFlag{Name: "tasks", Value: 1, Usage: "tasks in one job"},
			&cli.StringFlag{Name: "team", Value: "load", Usage: "team of the jobs"},
			&cli.StringFlag{Name: "service", Value: "pickup", Usage: "service of the jobs"},
			&cli.FloatFlag{Name: "idempotent", Value: 0.5, Usage: "share of idempotent jobs"},
			&cli.FloatFlag{Name: "resubmit", Usage: "share of jobs submitted again, to another entry, while they run"},
			&cli.FloatFlag{Name: "cancel", Usage: "share of jobs cancelled while they run"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of the jobs; the longest allowed if not set"},
			&cli.FloatFlag{Name: "run-millis", Value: -1, Usage: "run time of a task; negative for a random time chosen by the target"},
			&cli.IntFlag{Name: "max-under-way", Value: 10_000, Usage: "most jobs in flight; submissions beyond it are skipped"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "seed of the random choices"},
			&cli.StringFlag{Name: "prefix", Usage: "prefix of the job keys; generated if not set (a prefix that was used before reuses its keys)"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			prefix := cmd.String("prefix")
			if prefix == "" {
				prefix = identity.New("load")
			}
			rep, err := load.Run(ctx, load.Config{
				Entries: strings.Split(cmd.String("entries"), ","), Rate: cmd.Float("rate"), Duration: cmd.Duration("for"),
				Tasks: cmd.Int("tasks"), Team: cmd.String("team"), Service: cmd.String("service"), Prefix: prefix,
				Idempotent: cmd.Float("idempotent"), Resubmit: cmd.Float("resubmit"), Cancel: cmd.Float("cancel"),
				Deadline: cmd.Duration("deadline"), RunMillis: cmd.Float("run-millis"),
				MaxUnderWay: cmd.Int("max-under-way"), Seed: cmd.Int("seed"),
			})
			if err != nil {
				return usagef("%v", err)
			}
			return printOutput(cmd, rep, func(w io.Writer) { printLoad(w, &rep) })
		},
	}
}

func printLoad(w io.Writer, rep *load.Report) {
	_, _ = fmt.Fprintf(w, "%d jobs in %.1f s: %d complete, %d failed, %d refused, %d lost, %d skipped\n",
		rep.Submitted, rep.Seconds, rep.Complete, rep.Failed, rep.Refused, rep.Lost, rep.Skipped)
	_, _ = fmt.Fprintf(w, "%.0f jobs/s, %.0f tasks/s; tasks: %d done, %d notRun, %d unknown\n",
		rep.JobsPerSec, rep.TasksPerSec, rep.TasksDone, rep.NotRun, rep.Unknown)
	_, _ = fmt.Fprintf(w, "resubmitted %d (%d with another answer), cancelled %d\n", rep.Resubmitted, rep.Differing, rep.Cancelled)
	_, _ = fmt.Fprintf(w, "response ms: mean %.2f, p50 %.2f, p99 %.2f, max %.2f\n", rep.Mean, rep.P50, rep.P99, rep.Max)
}
