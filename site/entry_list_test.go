package site

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestEntryListKeepsEntriesStillNamed guards against a full list: the addresses of
// entries that were replaced must not displace those that are still named.
func TestEntryListKeepsEntriesStillNamed(t *testing.T) {
	var l entryList
	for i := range 3 * maxEntries {
		l.add(time.Time{}, "steady", fmt.Sprint("replaced", i), "")
	}
	all := l.all()
	if len(all) != maxEntries || !slices.Contains(all, "steady") || !slices.Contains(all, fmt.Sprint("replaced", 3*maxEntries-1)) {
		t.Errorf("got %d addresses, want a full list with the steady and the newest address: %v", len(all), all)
	}
}
