package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"masticbay/intake"
	"masticbay/platform"
	"masticbay/setting"
	"masticbay/site"
	"masticbay/telemetry"
	"masticbay/web"
)

// stopReserve is the part of the grace period that a stop leaves for flushing logs
// and traces before the process is killed.
const stopReserve = 400 * time.Millisecond

func siteCommand() *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "runs an entry or an agent on the users' platform",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "runs an entry, which serves callers", Flags: []cli.Flag{siteConfigFlag()}, Action: runSiteEntry},
			{Name: "agent", Usage: "runs an agent, which runs tasks on the worker of this VM", Flags: []cli.Flag{siteConfigFlag()}, Action: runSiteAgent},
			siteDemoCommand(),
			siteReplayCommand(), siteExplainCommand(),
		},
	}
}

func siteConfigFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "`FILE` with masticbay's own settings; see masticbay config reference site"}
}

// siteProcess holds the settings and the log of a process on the users' platform.
type siteProcess struct {
	node  *platform.Node
	cfg   setting.Site
	log   zerolog.Logger
	flush func() // writes buffered log lines and traces
}

// prepareSite reads the platform's settings and masticbay's own, and sets up logs
// and traces.
func prepareSite(cmd *cli.Command, role string) (p *siteProcess, err error) {
	p = &siteProcess{cfg: setting.Default[setting.Site]()}
	if p.node, err = platform.ReadNode(); err != nil {
		return nil, err
	}
	if file := cmd.String("config"); file != "" {
		if p.cfg, err = setting.Read[setting.Site](file); err != nil {
			return nil, err
		}
	}
	if limit, ok := (intake.Machine{MemoryMB: p.node.MemoryMB}).CollectorLimit(); ok {
		debug.SetMemoryLimit(limit)
	}
	web.AllowSlowStop(p.node.GracePeriod)
	stopTraces, err := telemetry.StartTraces(role, p.cfg.Traces, p.cfg.TraceRatio)
	if err != nil {
		return nil, err
	}
	log, flush := siteLog(role, p.cfg.LogLevel)
	p.log = log
	p.flush = func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
		defer cancel()
		if err := stopTraces(ctx); err != nil {
			log.Warn().Err(err).Msg("some traces were not exported")
		}
		flush()
	}
	return p, nil
}

// maxBufferedLogLines is the number of log lines buffered for standard output.
// Lines beyond it are dropped and counted, so that a slow reader blocks nothing.
const maxBufferedLogLines = 4096

// siteLog returns a log to standard output that never blocks, and a function that
// writes the buffered lines.
func siteLog(role, level string) (log zerolog.Logger, flush func()) {
	w := diode.NewWriter(os.Stdout, maxBufferedLogLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", missed)
	})
	return telemetry.NewLog(w, level, role), func() { _ = w.Close() }
}

func runSiteEntry(_ context.Context, cmd *cli.Command) error {
	p, err := prepareSite(cmd, "entry")
	if err != nil {
		return err
	}
	defer p.flush()
	e, err := site.StartEntry(site.EntryOptions{Node: p.node, Log: p.log, Listen: p.cfg.Listen, RequestLines: p.cfg.RequestLines, CellSize: p.cfg.CellSize, ShedLoad: p.cfg.ShedLoad})
	if err != nil {
		return err
	}
	reloadOnHangup(e, p.log)
	return runDaemon(e, p.node.GracePeriod-stopReserve)
}

// reloader is a process that applies changed settings while it runs.
type reloader interface {
	Reload(node *platform.Node)
}

// reloadOnHangup reads the node's settings again at each SIGHUP. If they can't be
// read, the current settings stay in force.
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
	p, err := prepareSite(cmd, "agent")
	if err != nil {
		return err
	}
	defer p.flush()
	a, err := site.StartAgent(site.AgentOptions{Node: p.node, Log: p.log, Listen: p.cfg.Listen, RequestLines: p.cfg.RequestLines})
	if err != nil {
		return err
	}
	reloadOnHangup(a, p.log)
	return runDaemon(a, p.node.GracePeriod-stopReserve)
}
