package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/entry"
	"masticbay/identity"
	"masticbay/job"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:     "job",
		Usage:    "submits, looks up and cancels jobs",
		Commands: []*cli.Command{jobSubmitCommand(), jobStatusCommand(), jobCancelCommand()},
	}
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submits a job and prints its answer",
		Flags: []cli.Flag{
			entryFlag(), outputFlag(),
			&cli.StringFlag{Name: "file", Usage: "`FILE` with the job as JSON (- for standard input), in the format of docs/API.md"},
			&cli.StringFlag{Name: "key", Usage: "key of the job; generated if not set"},
			teamFlag(),
			&cli.StringFlag{Name: "service", Value: "pickup", Usage: "service of the job"},
			&cli.IntFlag{Name: "tasks", Value: 1, Usage: "number of tasks, which have no payload"},
			&cli.BoolFlag{Name: "idempotent", Usage: "the tasks may run again under a later submission"},
			&cli.BoolFlag{Name: "resubmission", Usage: "the key may have been submitted before"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline, counted from the submission; the longest allowed if not set"},
			&cli.BoolFlag{Name: "no-wait", Usage: "return as soon as the job is accepted"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			req, err := submitRequest(cmd)
			if err != nil {
				return err
			}
			ans, err := callEntry[job.Answer](ctx, cmd, http.MethodPost, "/v1/jobs", req)
			if err != nil {
				return err
			}
			return printAnswer(cmd, &ans)
		},
	}
}

func submitRequest(cmd *cli.Command) (req entry.SubmitRequest, err error) {
	defer func() { err = errors.Annotate(err, "reading the job") }()
	if path := cmd.String("file"); path != "" {
		return readRequest(path)
	}
	req = entry.SubmitRequest{
		Key: cmd.String("key"), Team: cmd.String("team"), Service: cmd.String("service"),
		Idempotent: cmd.Bool("idempotent"), Resubmission: cmd.Bool("resubmission"),
		DeadlineMS: cmd.Duration("deadline").Milliseconds(), NoWait: cmd.Bool("no-wait"),
		Tasks: make([]entry.TaskRequest, max(0, cmd.Int("tasks"))),
	}
	if req.Key == "" {
		req.Key = identity.New("job")
	}
	return req, nil
}

func readRequest(path string) (req entry.SubmitRequest, err error) {
	var raw []byte
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return req, err
	}
	return req, json.Unmarshal(raw, &req)
}

// printAnswer prints an answer. It returns an error if the job failed.
func printAnswer(cmd *cli.Command, ans *job.Answer) error {
	err := printOutput(cmd, ans, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s: %d done, %d failed, %d notRun, %d unknown, %d queued, %d dispatched\n", ans.Key, ans.Status,
			ans.Counts.Done, ans.Counts.Failed, ans.Counts.NotRun, ans.Counts.Unknown, ans.Counts.Queued, ans.Counts.Dispatched)
		if ans.Reason != "" {
			_, _ = fmt.Fprintln(w, ans.Reason)
		}
	})
	if err == nil && ans.Status == job.StatusFailed {
		return errors.Errorf("job %s failed: %s", ans.Key, ans.Reason)
	}
	return err
}

func jobStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "prints the answer of a job, or its counts while it runs",
		ArgsUsage: "KEY",
		Flags:     []cli.Flag{entryFlag(), outputFlag(), teamFlag(), &cli.BoolFlag{Name: "wait", Usage: "wait for the answer"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := ""
			if cmd.Bool("wait") {
				query = "?wait=true"
			}
			ans, err := callJob(ctx, cmd, http.MethodGet, query)
			if err != nil {
				return err
			}
			return printAnswer(cmd, &ans)
		},
	}
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancels a job; tasks that have started run to their end",
		ArgsUsage: "KEY",
		Flags:     []cli.Flag{entryFlag(), outputFlag(), teamFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ans, err := callJob(ctx, cmd, http.MethodDelete, "")
			if err != nil {
				return err
			}
			return printOutput(cmd, ans, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is cancelled\n", ans.Key) })
		},
	}
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{Name: "team", Value: "operators", Usage: "team of the job"}
}

// callJob sends a request for the job that the arguments name.
func callJob(ctx context.Context, cmd *cli.Command, method, query string) (ans job.Answer, err error) {
	if cmd.Args().Len() != 1 {
		return ans, usagef("want one KEY, got %d arguments", cmd.Args().Len())
	}
	path := "/v1/jobs/" + url.PathEscape(cmd.String("team")) + "/" + url.PathEscape(cmd.Args().First())
	return callEntry[job.Answer](ctx, cmd, method, path+query, nil)
}
