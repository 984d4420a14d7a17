package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"masticbay/platform"
	"masticbay/site"
	"masticbay/telemetry"
	"masticbay/web"
)

// stopReserve is what a stop leaves of the time before the process is killed.
const stopReserve = 400 * time.Millisecond

func siteCommand() *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "runs a process of masticbay on the users' platform",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "serves callers", Action: func(context.Context, *cli.Command) error { return runSiteEntry() }},
			{Name: "agent", Usage: "runs tasks on the worker of this VM", Action: func(context.Context, *cli.Command) error { return runSiteAgent() }},
		},
	}
}

func runSiteEntry() error {
	node, err := platform.ReadNode()
	if err != nil {
		return err
	}
	web.AllowSlowStop(node.Grace)
	log := telemetry.NewLog(os.Stdout, "info", "entry")
	e, err := site.StartEntry(site.EntryOptions{Node: node, Log: log})
	if err != nil {
		return err
	}
	reloadOnHangup(e, log)
	return serve(e, node.Grace-stopReserve)
}

// reloader takes changed settings while it runs.
type reloader interface {
	Reload(node *platform.Node)
}

// reloadOnHangup reads the node's settings again at each SIGHUP. Settings that
// can not be read leave those in force that are.
func reloadOnHangup(r reloader, log zerolog.Logger) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			node, err := platform.ReadNode()
			if err != nil {
				log.Error().Err(err).Msg("settings not reloaded")
				continue
			}
			r.Reload(node)
			log.Info().Strs("entries", node.Entries).Msg("settings reloaded")
		}
	}()
}

func runSiteAgent() error {
	node, err := platform.ReadNode()
	if err != nil {
		return err
	}
	web.AllowSlowStop(node.Grace)
	log := telemetry.NewLog(os.Stdout, "info", "agent")
	a, err := site.StartAgent(site.AgentOptions{Node: node, Log: log})
	if err != nil {
		return err
	}
	reloadOnHangup(a, log)
	return serve(a, node.Grace-stopReserve)
}
