package table_test

import (
	"strings"
	"testing"
	"time"

	"masticbay/clock"
	"masticbay/store"
	"masticbay/table"
)

// TestMalformedRowHidesTheOthers guards against processes that stop following the table after another
// writer has left one item among its rows, and against a row that no edit can replace.
func TestMalformedRowHidesTheOthers(t *testing.T) {
	for _, value := range []string{
		"", "x", "null", `{}`, strings.Repeat("[", 20_000), `{"kind":"team","name":"other","weight":1}`, `{"kind":"team","name":"odd","weight":1e300}`,
		`{"kind":"team","name":"odd","weight":-1}`, `{"kind":"team","name":"odd","weight":1,"limit":99999999999999999999}`, `{"kind":"team","name":"odd","weight":1,"limit":-7}`,
	} {
		st := store.NewMemory(&clock.Manual{})
		ed := table.Editor{Store: st, Clock: &clock.Manual{}, NewID: func() string { return "e" }}
		if _, err := ed.Set(t.Context(), table.Edit{Row: table.Row{Kind: table.Team, Name: "laval", Weight: 1, Limit: 8}}); err != nil {
			t.Fatal(err)
		}
		rev, ok, err := st.CompareAndSwap(t.Context(), table.Prefix+"team/odd", []byte(value), 0)
		if err != nil || !ok {
			t.Fatal(ok, err)
		}
		items, _, err := st.Watch(t.Context(), "masticbay/", 0, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		rows, ignored := table.Decode(items)
		if len(rows) != 1 || rows[0].Name != "laval" || len(ignored) != 1 {
			t.Errorf("%.60s: rows %+v, ignored %v", value, rows, ignored)
		}
		if rows, err := ed.List(t.Context()); len(rows) != 1 || err != nil {
			t.Errorf("%.60s: listed %+v, error %v", value, rows, err)
		}
		if _, err := ed.Set(t.Context(), table.Edit{Row: table.Row{Kind: table.Team, Name: "odd", Weight: 1}, Base: rev}); err != nil {
			t.Errorf("%.60s: the row can't be replaced: %v", value, err)
		}
	}
}
