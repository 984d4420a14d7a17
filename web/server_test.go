package web_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticbay/telemetry"
	"masticbay/web"
)

// TestServerLeavesTracesAlone checks that NewServer does not replace the trace
// exporter, as go-zero does by default: a span started afterwards is in the file.
func TestServerLeavesTracesAlone(t *testing.T) {
	file := filepath.Join(t.TempDir(), "traces.json")
	stop, err := telemetry.StartTraces("entry", file, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := web.NewServer(web.Config{Name: "entry", Address: "127.0.0.1:0", MaxBytes: 1024, Trace: true}, nil); err != nil {
		t.Fatal(err)
	}
	ctx, span := telemetry.StartSpan(context.Background(), "submit")
	if telemetry.Inject(ctx) == "" {
		t.Error("the context of the span holds no trace to propagate")
	}
	span.End()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), `"Name":"submit"`) {
		t.Errorf("the trace file does not contain the span: %s", raw)
	}
}
