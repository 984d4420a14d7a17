package credit_test

import (
	"testing"

	"pgregory.net/rapid"

	"masticbay/credit"
)

// TestLoansNeverExceedSlots performs random operations of entries on one lender,
// with delayed replies, and checks that running tasks and lent credits never
// exceed the slots.
func TestLoansNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		l := credit.NewLender(rapid.IntRange(1, 6).Draw(t, "threshold"))
		l.SetSlots(slots)
		names := []string{"e1", "e2", "e3"}
		balances := make(map[string]*credit.Balance)
		for _, n := range names {
			balances[n] = &credit.Balance{}
		}
		var running []string
		t.Repeat(map[string]func(*rapid.T){
			"spread": func(t *rapid.T) { l.LendEvenShare(rapid.SampledFrom(names).Draw(t, "entry")) },
			"learn": func(t *rapid.T) {
				e := rapid.SampledFrom(names).Draw(t, "entry")
				balances[e].Apply(l.Offer(e))
			},
			"dispatch": func(t *rapid.T) {
				e := rapid.SampledFrom(names).Draw(t, "entry")
				if balances[e].Available() == 0 {
					t.Skip()
				}
				epoch := balances[e].Spend()
				free := l.HasFreeSlot(e, epoch)
				l.DispatchDecided(e, epoch, rapid.IntRange(0, 9).Draw(t, "demand"), free)
				if free {
					running = append(running, e)
				}
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				l.Finish(running[0])
				running = running[1:]
			},
			"ask": func(t *rapid.T) { l.Ask(rapid.SampledFrom(names).Draw(t, "entry"), 3) },
			"recall": func(t *rapid.T) {
				e := rapid.SampledFrom(names).Draw(t, "entry")
				epoch, total := balances[e].Return(2)
				l.Return(e, epoch, total, 0)
			},
			"forget": func(t *rapid.T) { l.Revoke(rapid.SampledFrom(names).Draw(t, "entry")) },
			"": func(t *rapid.T) {
				if l.Running() != len(running) || l.Running()+l.Lent() > slots {
					t.Fatalf("%d tasks run and %d credits are lent, with %d slots", l.Running(), l.Lent(), slots)
				}
			},
		})
	})
}

func TestFreedSlotGoesToEntryWithDemand(t *testing.T) {
	l := credit.NewLender(2)
	l.SetSlots(1)
	l.LendEvenShare("e1")
	l.DispatchDecided("e1", l.Offer("e1").Epoch, 0, true)
	if holders := l.Ask("e2", 5); len(holders) != 0 {
		t.Errorf("Ask returned holders %v, want none: no entry holds a credit", holders)
	}
	if moved := l.Finish("e1"); len(moved) != 1 || moved[0] != "e2" {
		t.Errorf("the slot was lent to %v, want e2", moved)
	}
}

func TestSlotsOfRevokedLoanBecomeSpare(t *testing.T) {
	l := credit.NewLender(1)
	l.SetSlots(1)
	l.LendEvenShare("dead")
	l.DispatchDecided("dead", l.Offer("dead").Epoch, 4, true)
	l.Revoke("dead")
	_ = l.Offer("dead")
	l.Finish("dead")
	if l.Lent() != 0 || l.Idle("e1") != 1 {
		t.Errorf("%d credits are lent and %d slots are idle, want 0 and 1", l.Lent(), l.Idle("e1"))
	}
}
