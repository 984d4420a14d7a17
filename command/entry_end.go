package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"masticbay/entry"
)

func endCommand() *cli.Command {
	return &cli.Command{
		Name:      "end",
		Usage:     "declares that an entry has ended for good; not to be used if it may still run",
		ArgsUsage: "ENTRY",
		Flags:     []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("want one ENTRY, got %d arguments", cmd.Args().Len())
			}
			path := "/v1/entries/" + url.PathEscape(cmd.Args().First()) + "/end"
			rep, err := callEntry[entry.EndReply](ctx, cmd, http.MethodPost, path, nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, rep, func(w io.Writer) { _, _ = fmt.Fprintf(w, "entry %s has ended\n", rep.Entry) })
		},
	}
}
