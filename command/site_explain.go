package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"masticbay/diagnosis"
)

func siteExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "counts by cause, from the logs of a site's processes, the jobs that were not served in time",
		ArgsUsage: "[FILE...]  (default: standard input)",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "job", Usage: "write the lines about the job `ID` instead, with its cause"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			logs, err := readLogs(cmd.Args().Slice())
			if err != nil {
				return err
			}
			if id := cmd.String("job"); id != "" {
				return logs.WriteJob(os.Stdout, id)
			}
			return logs.WriteTable(os.Stdout)
		},
	}
}

// readLogs reads the named files, or standard input if there are none.
func readLogs(files []string) (logs *diagnosis.Logs, err error) {
	logs = new(diagnosis.Logs)
	if len(files) == 0 {
		return logs, logs.Read("standard input", os.Stdin)
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		err = logs.Read(file, f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
	}
	return logs, nil
}
