package health_test

import (
	"testing"
	"time"

	"masticbay/health"
)

func TestFailingTargetGetsOneProbeAtATime(t *testing.T) {
	var tr health.Tracker
	now := time.Unix(1_000_000, 0)
	for range 5 {
		tr.Begin()
		tr.End(now, true, false, time.Millisecond)
	}
	if !tr.Quarantined() || tr.Allows(now) {
		t.Fatal("five failures in a row do not quarantine")
	}
	now = tr.NextProbe()
	if !tr.Allows(now) {
		t.Fatal("no probe is allowed after the backoff")
	}
	tr.Begin()
	if tr.Allows(now) {
		t.Error("a second probe is allowed")
	}
	tr.End(now, false, false, time.Second)
	if tr.Quarantined() {
		t.Error("a successful probe does not end the quarantine")
	}
}

func TestNoQuarantineWhenNobodySucceeds(t *testing.T) {
	var tr health.Tracker
	for range 100 {
		tr.End(time.Unix(1_000_000, 0), true, true, time.Millisecond)
	}
	if tr.Quarantined() {
		t.Error("the only target is quarantined for tasks that may be at fault")
	}
}
