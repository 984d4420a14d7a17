// Package telemetry sets up logs, counters and traces for every process.
//
// # Model
//
// Frequent events are counted, and the counters are served at /metrics in the
// Prometheus format. Only changes of state are logged, as JSON lines. A trace
// has a span for each hop: caller to entry, entry to peer entry, entry to agent,
// agent to target.
//
// # Usage
//
//	log := telemetry.NewLog(os.Stderr, "info", "entry")
//	m := telemetry.NewMetrics("entry")
//	defer m.Close()
//	stop, err := telemetry.StartTraces("entry", "traces.json", 1)
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// NewLog returns the logger of a process, which writes to w, and routes the log
// lines of the HTTP library to it. An unknown level is treated as info.
func NewLog(w io.Writer, level, role string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		lvl = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(w).Level(lvl).With().Timestamp().Str("role", role).Logger()
	routeLibraryLog(log)
	return log
}

// routeLibraryLog routes the log lines of go-zero to log and disables its
// periodic statistics and its line for each request: requests are counted.
func routeLibraryLog(log zerolog.Logger) {
	// go-zero sets up its log only once, so a server started later can't replace
	// this configuration.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "error", Stat: false})
	logx.DisableStat()
	stat.DisableLog()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(libraryWriter{log.With().Str("library", "go-zero").Logger()})
}

// libraryWriter implements logx.Writer.
type libraryWriter struct {
	log zerolog.Logger
}

func (w libraryWriter) write(e *zerolog.Event, v any, fields []logx.LogField) {
	for _, f := range fields {
		e = e.Interface(f.Key, f.Value)
	}
	e.Msg(fmt.Sprint(v))
}

func (w libraryWriter) Alert(v any)                          { w.write(w.log.Error(), v, nil) }
func (w libraryWriter) Close() error                         { return nil }
func (w libraryWriter) Debug(v any, fields ...logx.LogField) { w.write(w.log.Debug(), v, fields) }
func (w libraryWriter) Error(v any, fields ...logx.LogField) { w.write(w.log.Debug(), v, fields) }
func (w libraryWriter) Info(v any, fields ...logx.LogField)  { w.write(w.log.Debug(), v, fields) }
func (w libraryWriter) Severe(v any)                         { w.write(w.log.Error(), v, nil) }
func (w libraryWriter) Slow(v any, fields ...logx.LogField)  { w.write(w.log.Debug(), v, fields) }
func (w libraryWriter) Stack(v any)                          { w.write(w.log.Error(), v, nil) }
func (w libraryWriter) Stat(v any, fields ...logx.LogField)  { w.write(w.log.Debug(), v, fields) }
