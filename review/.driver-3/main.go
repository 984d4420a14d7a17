// Command review3 plays the scripted cases of the third review: it starts masticbay's
// programs as separate processes beside stand-ins of the store, the executors and the
// clients, and judges only what these have seen.
//
// Usage:
//
//	review3 CASE RECORD
//
// The environment variable TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	argsPerCall = 3
)

// scenario plays a case and returns what broke the rule.
type scenario func(s *site, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"latebeat": lateBeat,
	"pending":  pendingAfterFailover,
	"outage":   storeOutage,
	"lostend":  lostEnd,
	"reborn":   lateStart,
	"lasting":  lastingOnLost,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argsPerCall || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := scenarios[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("case", "not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(broken) == 0 {
		rec.add("case", "the rule held")
		fmt.Println("held")
		return exitHeld
	}
	for i, b := range broken {
		rec.add("broken", "%s", b)
		if i < 10 {
			fmt.Println("broken:", b)
		}
	}
	fmt.Printf("broken %d times\n", len(broken))
	return exitBroken
}
