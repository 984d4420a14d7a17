package command

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"masticbay/clock"
	"masticbay/setting"
	"masticbay/store"
	"masticbay/telemetry"
)

const headerTimeout = 10 * time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "runs a stand-in for the platform's key-value service, for tests",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := readSettings[setting.Platform](cmd)
			if err != nil {
				return err
			}
			log := telemetry.NewLog(os.Stderr, cfg.LogLevel, "platform")
			ln, err := net.Listen("tcp", cfg.HTTP)
			if err != nil {
				return err
			}
			srv := store.NewServer(store.NewMemory(clock.System{}))
			h := &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: headerTimeout}
			go func() { _ = h.Serve(ln) }()
			log.Info().Str("http", cfg.HTTP).Msg("key-value stand-in started")
			<-stopSignal()
			return h.Close()
		},
	}
}
