package command

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"masticbay/agent"
	"masticbay/setting"
	"masticbay/target"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "runs many agents with stand-in targets in one process, to measure how the message load grows with them",
		Flags: []cli.Flag{
			configFlag(),
			&cli.IntFlag{Name: "count", Value: 10, Usage: "number of agents"},
			&cli.IntFlag{Name: "first-port", Value: 20_000, Usage: "first port; each agent uses three"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "run time; the number of messages and bytes sent is printed at its end"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := readSettings[setting.Agent](cmd)
			if err != nil {
				return err
			}
			return runFleet(cfg, cmd.Int("count"), cmd.Int("first-port"), cmd.Duration("for"))
		},
	}
}

// portsPerAgent is the number of ports that one agent and its target use.
const portsPerAgent = 3

// fleetReport counts what the agents of a fleet have sent.
type fleetReport struct {
	Agents   int    `json:"agents"`
	Messages uint64 `json:"messagesSent"`
	Bytes    uint64 `json:"bytesSent"`
}

func runFleet(cfg setting.Agent, count, port int, d time.Duration) (err error) {
	defer func() { err = errors.Annotate(err, "running a fleet") }()
	var agents []*agent.Agent
	for i := range count {
		a, err := startAgentAndTarget(cfg, i, port+portsPerAgent*i)
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	time.Sleep(d)
	rep := fleetReport{Agents: count}
	for _, a := range agents {
		rep.Messages += a.Messages().Total()
		rep.Bytes += a.Messages().Bytes()
	}
	return json.NewEncoder(os.Stdout).Encode(rep)
}

// startAgentAndTarget starts one agent and the target beside it.
func startAgentAndTarget(cfg setting.Agent, i, port int) (*agent.Agent, error) {
	host, _, err := net.SplitHostPort(cfg.RPC)
	if err != nil {
		return nil, err
	}
	address := func(n int) string { return net.JoinHostPort(host, strconv.Itoa(port+n)) }
	cfg.RPC, cfg.HTTP = address(0), address(1)
	a, err := agent.Start(cfg, agent.Options{Log: zerolog.Nop()})
	if err != nil {
		return nil, err
	}
	t := setting.Default[setting.Target]()
	_, err = target.Start(target.Config{
		Address: address(2), AgentURL: "http://" + cfg.HTTP, Name: "target" + strconv.Itoa(i+1),
		Service: t.Service, Slots: t.Slots, Median: t.Median.D(), Sigma: t.Sigma, Seed: i, AnnounceInterval: t.AnnounceInterval.D(),
	})
	return a, err
}
