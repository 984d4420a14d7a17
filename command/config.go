package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"masticbay/setting"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "checks settings files and lists the settings of each role",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "checks a settings file",
				ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					if cmd.Args().Len() != 1 {
						return usagef("want one FILE, got %d arguments", cmd.Args().Len())
					}
					return checkFile(cmd.Args().First())
				},
			},
			{
				Name:      "reference",
				Usage:     "lists the settings of a role: entry, agent, site, platform or target",
				ArgsUsage: "ROLE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					return printReference(os.Stdout, cmd.Args().First())
				},
			},
		},
	}
}

func checkFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	role, err := setting.FileRole(raw)
	if err != nil {
		return err
	}
	switch role {
	case "entry":
		_, err = setting.Read[setting.Entry](path)
	case "agent":
		_, err = setting.Read[setting.Agent](path)
	case "site":
		_, err = setting.Read[setting.Site](path)
	case "platform":
		_, err = setting.Read[setting.Platform](path)
	case "target":
		_, err = setting.Read[setting.Target](path)
	default:
		return usagef("%s: role: %q is not allowed; want entry, agent, site, platform or target", path, role)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: the settings of the %s are valid\n", path, role)
	return nil
}

func printReference(w io.Writer, role string) error {
	switch role {
	case "entry":
		return setting.Reference[setting.Entry](w)
	case "agent":
		return setting.Reference[setting.Agent](w)
	case "site":
		return setting.Reference[setting.Site](w)
	case "platform":
		return setting.Reference[setting.Platform](w)
	case "target":
		return setting.Reference[setting.Target](w)
	}
	return usagef("%q is not a role; want entry, agent, site, platform or target", role)
}
