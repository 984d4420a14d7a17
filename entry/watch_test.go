package entry

import (
	"testing"

	"masticbay/member"
	"masticbay/store"
	"masticbay/table"
)

// TestMalformedRegistryHidesTheTable guards against an entry that stops following the registry and the
// table after a foreign program has written one item under their prefix.
func TestMalformedRegistryHidesTheTable(t *testing.T) {
	row := store.Item{Key: table.Prefix + "team/laval", Value: []byte(`{"kind":"team","name":"laval","weight":1}`), Revision: 7}
	for value, valid := range map[string]bool{
		`{"revision":3}`: true, ``: false, `x`: false, `null`: false, `{"revision":18446744073709551615}`: false, `{"revision":-1}`: false, `{"entries":[7]}`: false,
	} {
		items := []store.Item{{Key: member.RegistryKey, Value: []byte(value), Revision: 8}, row, {Key: "masticbay/odd", Value: []byte("x"), Revision: 9}}
		s := decodeState(items)
		if len(s.rows) != 1 || (s.registry != nil) != valid || s.registryUnreadable == valid || (len(s.ignored) == 0) != valid {
			t.Errorf("%s: decoded %+v", value, s)
		}
	}
}
