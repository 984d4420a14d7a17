package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/entry"
	"masticbay/table"
)

func tableExportCommand() *cli.Command {
	return &cli.Command{
		Name:  "export",
		Usage: "writes the table as CSV to standard output",
		Flags: []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			rows, err := callEntry[[]table.Row](ctx, cmd, http.MethodGet, "/v1/table", nil)
			if err != nil {
				return err
			}
			return table.WriteCSV(os.Stdout, rows)
		},
	}
}

func tableImportCommand() *cli.Command {
	return &cli.Command{
		Name:      "import",
		Usage:     "imports rows from CSV and edits those that differ; a row with a conflict stays unchanged",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{entryFlag(), outputFlag(), waitFlag(), authorFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("want one FILE, got %d arguments", cmd.Args().Len())
			}
			return importFile(ctx, cmd, cmd.Args().First())
		},
	}
}

func importFile(ctx context.Context, cmd *cli.Command, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return importRows(ctx, cmd, f)
}

func importRows(ctx context.Context, cmd *cli.Command, r io.Reader) error {
	after, err := table.ReadCSV(r)
	if err != nil {
		return usagef("%v", err)
	}
	before, err := callEntry[[]table.Row](ctx, cmd, http.MethodGet, "/v1/table", nil)
	if err != nil {
		return err
	}
	failed := 0
	edits := table.Diff(before, after)
	for _, ed := range edits {
		path := "/v1/table/" + url.PathEscape(string(ed.Row.Kind)) + "/" + url.PathEscape(ed.Row.Name)
		body := entry.RowEdit{Base: ed.Base, Weight: ed.Row.Weight, Limit: ed.Row.Limit, Drain: ed.Row.Drain, Author: cmd.String("author")}
		if err := putRow(ctx, cmd, path, body); err != nil {
			failed++
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d edits failed", failed, len(edits))
	}
	fmt.Fprintf(os.Stderr, "%d rows changed\n", len(edits))
	return nil
}

func tableEditCommand() *cli.Command {
	return &cli.Command{
		Name:      "edit",
		Usage:     "writes the table as CSV to FILE, waits while you edit it and imports it",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{entryFlag(), outputFlag(), waitFlag(), authorFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("want one FILE, got %d arguments", cmd.Args().Len())
			}
			rows, err := callEntry[[]table.Row](ctx, cmd, http.MethodGet, "/v1/table", nil)
			if err != nil {
				return err
			}
			path := cmd.Args().First()
			if err := writeRows(path, rows); err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "edit %s and save it, then press Enter here (Ctrl-C changes nothing): ", path)
			if _, err := bufio.NewReader(os.Stdin).ReadString('\n'); err != nil {
				return errors.Annotate(err, "waiting for Enter; nothing was changed")
			}
			return importFile(ctx, cmd, path)
		},
	}
}

// writeRows writes rows as CSV to a new file. It fails if the file exists.
func writeRows(path string, rows []table.Row) (err error) {
	defer func() { err = errors.Annotatef(err, "writing %s", path) }()
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := table.WriteCSV(f, rows); err != nil {
		return err
	}
	return f.Close()
}
