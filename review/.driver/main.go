// Driver plays the scripted cases of the review. It starts the project's own programs
// as separate processes on loopback addresses, together with stand-ins of the platform's
// store, the executors and the clients, and judges what the clients and the executors
// have seen.
//
// # Usage
//
//	driver CASE FOLDER
//
// CASE is the name of a case. The driver writes record.txt into FOLDER and exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 in the
// environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// maxPlayTime ends a case that hangs.
const maxPlayTime = 115 * time.Second

// play is a scripted case. It returns the violations of its rule.
type play func(s *site, trouble bool) (violations []string, err error)

var plays = map[string]play{
	"gang":     playGang,
	"failed":   playFailed,
	"refused":  playRefused,
	"cancel":   playCancel,
	"label":    playLabel,
	"manyends": playManyEnds,
	"soak":     playSoak,
	"instance": playInstance,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return notPlayed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSite(rec)
	if err != nil {
		return fail(rec, err)
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		v, err := plays[os.Args[1]](s, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return fail(rec, r.err)
		}
		for _, v := range r.violations {
			rec.printf("BROKEN %s", v)
		}
		rec.printf("%d violations", len(r.violations))
		fmt.Printf("%d violations\n", len(r.violations))
		if len(r.violations) > 0 {
			fmt.Println(r.violations[0])
			return ruleBroken
		}
		return ruleHeld
	case <-interrupted:
		return fail(rec, fmt.Errorf("interrupted"))
	case <-time.After(maxPlayTime):
		return fail(rec, fmt.Errorf("not over after %v", maxPlayTime))
	}
}

func fail(rec *record, err error) int {
	rec.printf("not played: %v", err)
	fmt.Fprintln(os.Stderr, "not played:", err)
	return notPlayed
}
