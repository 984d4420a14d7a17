package site

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/work"
	"masticbay/worker"
)

// testAgent returns an agent without connections, beside a worker that answers its first polls.
func testAgent(t *testing.T, clk clock.Clock) *Agent {
	t.Helper()
	node := &platform.Node{MaxWorkerLease: time.Second}
	a := &Agent{
		node: node, log: zerolog.Nop(), runLog: zerolog.Nop(), clock: clk, life: "agent-2", guard: worker.NewGuard(GuardConfig(node)),
		eventsReady: make(chan struct{}), lastOrders: make(map[string]uint64), targetVersion: 1,
	}
	a.guard.TakeHeartbeat(a.now(), work.Target{ID: "w", Born: 1, Service: "s", Capacity: work.Room{CPU: 100}}, time.Minute, 0)
	for range 2 {
		a.guard.PollAnswered(a.now(), worker.Snapshot{Token: a.guard.Token(), Born: 1, Clock: time.Minute})
	}
	return a
}

// TestEarlierIncarnationsEventsAreAcknowledged guards against a lost end: a home that does not know yet
// that the agent has restarted acknowledges events of the earlier incarnation, with numbers that the
// present one has used.
func TestEarlierIncarnationsEventsAreAcknowledged(t *testing.T) {
	a := testAgent(t, clock.System{})
	echo := toStamp(a.now())
	order := orderBatch{Seq: 1, Echo: echo, Starts: []work.Start{{Run: work.Run{Task: work.TaskRef{Job: "j"}, Number: 1}, Stored: true, Room: work.Room{CPU: 1000}}}}
	a.takeSync(&SyncArgs{Home: "h", Life: a.life, Echo: echo, Orders: []orderBatch{order}}) // refused, as there is no room
	if n := len(a.guard.Events("h", 0)); n != 1 {
		t.Fatalf("%d events, want 1", n)
	}
	late := SyncArgs{Home: "h", Life: "agent-1", Echo: echo, Acked: 40, Known: 40}
	a.takeSync(&late)
	var rep SyncReply
	a.answerSync(&late, &rep)
	if n := len(rep.Report.Events); n != 1 {
		t.Errorf("%d events after an acknowledgement of an earlier incarnation's, want 1", n)
	}
}
