package site

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestListKeepsTheEntriesThatAreStillTold: addresses of entries that were
// replaced must not keep new ones out.
func TestListKeepsTheEntriesThatAreStillTold(t *testing.T) {
	var l entryList
	for i := range 3 * maxEntries {
		l.add(time.Time{}, "steady", fmt.Sprint("replaced", i), "")
	}
	all := l.all()
	if len(all) != maxEntries || !slices.Contains(all, "steady") || !slices.Contains(all, fmt.Sprint("replaced", 3*maxEntries-1)) {
		t.Errorf("%d addresses: %v", len(all), all)
	}
}
