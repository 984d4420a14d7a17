package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"masticbay/agent"
	"masticbay/setting"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "runs an agent, the process beside a target that starts its tasks",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := readSettings[setting.Agent](cmd)
			if err != nil {
				return err
			}
			limit := cfg.StopTimeout.D()
			log, flush, err := setUpTelemetry("agent", cfg.Common, limit)
			if err != nil {
				return err
			}
			defer flush()
			a, err := agent.Start(cfg, agent.Options{Log: log})
			if err != nil {
				return err
			}
			return runDaemon(a, limit)
		},
	}
}
