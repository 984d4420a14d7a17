package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/entry"
	"masticbay/table"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "reads and edits the operators' table of weights and limits",
		Commands: []*cli.Command{
			tableListCommand(), tableGetCommand(), tableSetCommand(), tableEditCommand(),
			tableImportCommand(), tableExportCommand(), tableHistoryCommand(),
		},
	}
}

func printRows(w io.Writer, rows []table.Row) {
	printColumns(w, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "KIND\tNAME\tWEIGHT\tLIMIT\tDRAIN\tREVISION\tEDITED\tAUTHOR")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%t\t%d\t%s\t%s\n",
				r.Kind, r.Name, r.Weight, r.Limit, r.Drain, r.Revision, r.Edited.Format(time.RFC3339), r.Author)
		}
	})
}

func tableListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "lists the rows in force at an entry",
		Flags: []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			rows, err := callEntry[[]table.Row](ctx, cmd, http.MethodGet, "/v1/table", nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, rows, func(w io.Writer) { printRows(w, rows) })
		},
	}
}

// rowPath returns the URL path of the row that the arguments KIND and NAME name.
func rowPath(cmd *cli.Command, base string) (string, error) {
	if cmd.Args().Len() != 2 {
		return "", usagef("want KIND NAME, got %d arguments", cmd.Args().Len())
	}
	return base + "/" + url.PathEscape(cmd.Args().Get(0)) + "/" + url.PathEscape(cmd.Args().Get(1)), nil
}

func tableGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "prints one row",
		ArgsUsage: "KIND NAME",
		Flags:     []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path, err := rowPath(cmd, "/v1/table")
			if err != nil {
				return err
			}
			row, err := callEntry[table.Row](ctx, cmd, http.MethodGet, path, nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, row, func(w io.Writer) { printRows(w, []table.Row{row}) })
		},
	}
}

func tableSetCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "changes or creates one row",
		ArgsUsage: "KIND NAME",
		Flags: []cli.Flag{
			entryFlag(), outputFlag(), waitFlag(),
			&cli.FloatFlag{Name: "weight", Usage: "share relative to other rows of the same kind"},
			&cli.IntFlag{Name: "limit", Usage: "most concurrent tasks; 0 for no limit, -1 to allow none"},
			&cli.BoolFlag{Name: "drain", Usage: "for targets: start no new tasks"},
			&cli.BoolFlag{Name: "remove", Usage: "remove the row"},
			&cli.Uint64Flag{Name: "base", Usage: "`REVISION` on which the edit is based; the current one if not set"},
			authorFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path, err := rowPath(cmd, "/v1/table")
			if err != nil {
				return err
			}
			ed, err := editFromFlags(ctx, cmd, path)
			if err != nil {
				return err
			}
			return putRow(ctx, cmd, path, ed)
		},
	}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Sources: cli.EnvVars("USER"), Usage: "name of the person who makes the edit"}
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at all known processes"}
}

// editFromFlags returns an edit of the current row that applies the flags.
func editFromFlags(ctx context.Context, cmd *cli.Command, path string) (ed entry.RowEdit, err error) {
	row, err := callEntry[table.Row](ctx, cmd, http.MethodGet, path, nil)
	if p, ok := errors.AsType[*problemError](err); ok && p.status == http.StatusNotFound {
		row, err = table.Row{Weight: 1}, nil
	}
	if err != nil {
		return ed, err
	}
	ed = entry.RowEdit{Base: row.Revision, Weight: row.Weight, Limit: row.Limit, Drain: row.Drain, Author: cmd.String("author")}
	if cmd.IsSet("base") {
		ed.Base = cmd.Uint64("base")
	}
	if cmd.IsSet("weight") {
		ed.Weight = cmd.Float("weight")
	}
	if cmd.IsSet("limit") {
		ed.Limit = cmd.Int("limit")
	}
	if cmd.IsSet("drain") {
		ed.Drain = cmd.Bool("drain")
	}
	ed.Removed = cmd.Bool("remove")
	return ed, nil
}

// putRow writes an edit and prints the row. With --wait it waits until the row is
// in force.
func putRow(ctx context.Context, cmd *cli.Command, path string, ed entry.RowEdit) error {
	row, err := callEntry[table.Row](ctx, cmd, http.MethodPut, path, ed)
	if p, ok := errors.AsType[*problemError](err); ok && p.Current != nil {
		printRows(os.Stderr, []table.Row{*p.Current})
	}
	if err != nil {
		return err
	}
	if err := printOutput(cmd, row, func(w io.Writer) { printRows(w, []table.Row{row}) }); err != nil {
		return err
	}
	if !cmd.Bool("wait") {
		return nil
	}
	return awaitInForce(ctx, cmd, row.Revision)
}

const (
	inForceInterval = 200 * time.Millisecond
	maxInForcePolls = 50
)

// awaitInForce waits until a revision is in force at all known processes, and
// prints the progress.
func awaitInForce(ctx context.Context, cmd *cli.Command, rev uint64) error {
	path := fmt.Sprintf("/v1/force?revision=%d", rev)
	var rep entry.ForceReply
	for range maxInForcePolls {
		var err error
		if rep, err = callEntry[entry.ForceReply](ctx, cmd, http.MethodGet, path, nil); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "revision %d is in force at %d of %d processes\n", rev, rep.InForce, rep.Known)
		if rep.InForce == rep.Known {
			return nil
		}
		time.Sleep(inForceInterval)
	}
	return errors.Errorf("revision %d is not in force at %v", rev, rep.Missing)
}

func tableHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "lists the earlier revisions of a row, newest first",
		ArgsUsage: "KIND NAME",
		Flags:     []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path, err := rowPath(cmd, "/v1/history")
			if err != nil {
				return err
			}
			rows, err := callEntry[[]table.Row](ctx, cmd, http.MethodGet, path, nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, rows, func(w io.Writer) { printRows(w, rows) })
		},
	}
}

func drainCommand(name string, drain bool) *cli.Command {
	usage := "allows new tasks on a target again"
	if drain {
		usage = "starts no new tasks on a target; running tasks continue"
	}
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "TARGET",
		Flags:     []cli.Flag{entryFlag(), outputFlag(), waitFlag(), authorFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("want one TARGET, got %d arguments", cmd.Args().Len())
			}
			path := "/v1/table/target/" + url.PathEscape(cmd.Args().First())
			ed, err := editFromFlags(ctx, cmd, path)
			if err != nil {
				return err
			}
			ed.Drain = drain
			return putRow(ctx, cmd, path, ed)
		},
	}
}
