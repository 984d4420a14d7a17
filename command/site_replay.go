package command

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"masticbay/bench"
)

func siteReplayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replays load patterns against the scheduling decisions of a home in virtual time, and writes a table and a plot of each",
		ArgsUsage: "[FILE...]  (default: the embedded patterns)",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "seed", Usage: "`SEED` that replaces the one of the pattern"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			patterns, err := loadPatterns(cmd.Args().Slice())
			if err != nil {
				return err
			}
			for _, p := range patterns {
				if cmd.IsSet("seed") {
					p.Seed = cmd.Uint64("seed")
				}
				if err := bench.Replay(p).Write(os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// loadPatterns reads the named pattern files, or the embedded ones if files is
// empty.
func loadPatterns(files []string) (patterns []*bench.Pattern, err error) {
	read := func(file string) (*bench.Pattern, error) {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return bench.DecodePattern(raw)
	}
	if len(files) == 0 {
		if files, err = bench.Patterns(); err != nil {
			return nil, err
		}
		read = bench.EmbeddedPattern
	}
	for _, file := range files {
		p, err := read(file)
		if err != nil {
			return nil, errors.Annotatef(err, "pattern %s", file)
		}
		patterns = append(patterns, p)
	}
	return patterns, nil
}
