package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
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
			{Name: "entry", Usage: "serves callers", Flags: []cli.Flag{siteListenFlag()}, Action: runSiteEntry},
			{Name: "agent", Usage: "runs tasks on the worker of this VM", Flags: []cli.Flag{siteListenFlag()}, Action: runSiteAgent},
			siteDemoCommand(),
			siteReplayCommand(),
		},
	}
}

func siteListenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "listen for masticbay's own processes at this `ADDRESS` and not at the announced one, behind address translation"}
}

// logRing is how many lines wait for standard output; when it is full, lines
// are dropped and counted, so that nothing waits for a reader.
const logRing = 4096

// siteLog returns a log to standard output that never blocks, and a function
// that writes what is left.
func siteLog(role string) (log zerolog.Logger, flush func()) {
	w := diode.NewWriter(os.Stdout, logRing, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", missed)
	})
	return telemetry.NewLog(w, "info", role), func() { _ = w.Close() }
}

func runSiteEntry(_ context.Context, cmd *cli.Command) error {
	node, err := platform.ReadNode()
	if err != nil {
		return err
	}
	web.AllowSlowStop(node.Grace)
	log, flush := siteLog("entry")
	defer flush()
	e, err := site.StartEntry(site.EntryOptions{Node: node, Log: log, Listen: cmd.String("listen")})
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

func runSiteAgent(_ context.Context, cmd *cli.Command) error {
	node, err := platform.ReadNode()
	if err != nil {
		return err
	}
	web.AllowSlowStop(node.Grace)
	log, flush := siteLog("agent")
	defer flush()
	a, err := site.StartAgent(site.AgentOptions{Node: node, Log: log, Listen: cmd.String("listen")})
	if err != nil {
		return err
	}
	reloadOnHangup(a, log)
	return serve(a, node.Grace-stopReserve)
}
