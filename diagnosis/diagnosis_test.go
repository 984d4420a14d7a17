package diagnosis_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"masticbay/diagnosis"
)

// entryLog has jobs a to f in the log format of the processes; line 9 is malformed.
const entryLog = `{"job":"a","objectiveMs":200,"lastWaitMs":0,"lastRunMs":100,"lastExpectedMs":100,"why":"completed ","time":"2026-01-01T00:00:01Z","message":"jobEnded"}
{"job":"a","state":"completed","tookMs":101,"time":"2026-01-01T00:00:01Z","message":"answered"}
{"job":"b","home":"e1","time":"2026-01-01T00:00:02Z","message":"home lost with a job; waits for its runs to end"}
{"job":"b","state":"unknown","tookMs":900,"why":"lost with its first home; then it could not end in time","time":"2026-01-01T00:00:03Z","message":"answered"}
{"job":"c","state":"rejected","tookMs":1,"why":"it could not end in time","time":"2026-01-01T00:00:02Z","message":"answered"}
{"job":"d","run":"d.0.0.0#1","why":"lapsed agent out of contact","time":"2026-01-01T00:00:02Z","message":"runEnded"}
{"job":"d","objectiveMs":200,"lastWaitMs":1400,"lastRunMs":100,"lastExpectedMs":100,"time":"2026-01-01T00:00:04Z","message":"jobEnded"}
{"job":"d","state":"completed","tookMs":1500,"time":"2026-01-01T00:00:04Z","message":"answered"}
{"job":"e",
{"job":"e","why":"its entry is out of contact","time":"2026-01-01T00:00:02Z","message":"job withdrawn"}
{"job":"f","objectiveMs":200,"lastWaitMs":100,"lastRunMs":150,"lastExpectedMs":140,"time":"2026-01-01T00:00:02Z","message":"jobEnded"}
{"job":"f","state":"completed","tookMs":250,"time":"2026-01-01T00:00:02Z","message":"answered"}
`

func readLogs(t *testing.T) *diagnosis.Logs {
	t.Helper()
	l := new(diagnosis.Logs)
	if err := l.Read("entry.log", strings.NewReader(entryLog)); err != nil {
		t.Fatal(err)
	}
	if err := l.Read("bench.log", strings.NewReader("   1.5 agent-3 {\"run\":\"d.0.0.0#1\",\"time\":\"2026-01-01T00:00:01Z\",\"message\":\"start not answered\"}\nno log line\n")); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestTableNamesTheCauses(t *testing.T) {
	var out strings.Builder
	if err := readLogs(t).WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"13 lines, 6 jobs, 1 served in time", "entry lost 0 0 1 e", "home lost 0 0 1 b", "worker lost 1 0 0 d",
		"rejected for the load 0 1 0 c", "waited for room 1 0 0 f", "1 lines could not be decoded: entry.log:9",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}

// TestEvacuationIsACause guards against rejections that seem to come from the load, and
// workers that seem to fail, while data centres are evacuated.
func TestEvacuationIsACause(t *testing.T) {
	const lines = `{"job":"a","state":"rejected","tookMs":1,"why":"all workers that could run it are in evacuated data centres","time":"2026-01-01T00:00:02Z","message":"answered"}
{"job":"b","run":"b.0.0.0#1","why":"refused evacuated","time":"2026-01-01T00:00:02Z","message":"runEnded"}
{"job":"b","objectiveMs":200,"lastWaitMs":100,"lastRunMs":150,"lastExpectedMs":140,"time":"2026-01-01T00:00:02Z","message":"jobEnded"}
{"job":"b","state":"completed","tookMs":250,"time":"2026-01-01T00:00:02Z","message":"answered"}
`
	l := new(diagnosis.Logs)
	if err := l.Read("entry.log", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := l.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"data centre evacuated 0 1 0 a", "waited for room 1 0 0 b"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}

func TestLinesOfAJobAreInOrder(t *testing.T) {
	var out strings.Builder
	l := readLogs(t)
	if err := l.WriteJob(&out, "d"); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.HasPrefix(lines[0], "1.5 agent-3 ") || lines[4] != "not served in time: worker lost" {
		t.Errorf("got\n%s", out.String())
	}
	if err := l.WriteJob(&out, "missing"); !errors.Is(err, errors.NotFound) {
		t.Errorf("error %v, want one of the kind not found", err)
	}
}
