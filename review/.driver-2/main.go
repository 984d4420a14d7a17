// Command review2-case plays one case of the second review: it starts the project's
// programs as separate processes beside stand-ins of the platform, its executors and its
// clients, and checks one rule from what these have seen.
//
// Usage:
//
//	review2-case -case rack -record review/6/record.txt -trouble=true
//
// The cases of review/6 to review/10 are reacquired, vanished, replicas, rack and ejected. Others
// that were shown are reborn, avoided, budget, unstarted and gang. A soak of stored jobs looks for cases:
// soak and soakOpen, with SOAK_SEED, SOAK_KINDS and SOAK_MIX in the environment.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// A play runs a case on a site that serves.
type play func(s *site, trouble bool) (verdict, error)

var plays = map[string]struct {
	config siteConfig
	play   play
}{
	"rack":       {rackConfig, playRack},
	"ejected":    {ejectedConfig, playEjected},
	"avoided":    {avoidedConfig, playAvoided},
	"reborn":     {rebornConfig, playReborn},
	"unstarted":  {unstartedConfig, playUnstarted},
	"gang":       {gangConfig, playGang},
	"replicas":   {replicasConfig, playReplicas},
	"budget":     {budgetConfig, playBudget},
	"vanished":   {vanishedConfig, playVanished},
	"reacquired": {reacquiredConfig, playReacquired},
	"soak":       {soakConfig, playSoak},
	"soakOpen":   {soakOpenConfig, playSoak},
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for the record of the play")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	logDir := flag.String("logs", "", "folder in which the logs of the processes are kept; none if empty")
	limit := flag.Duration("limit", playLimit, "bound of the play with the start and the end of its processes")
	flag.Parse()
	os.Exit(run(*name, *recordPath, *logDir, *trouble, *limit))
}

// playLimit is the default bound of a play.
const playLimit = 110 * time.Second

func run(name, recordPath, logDir string, trouble bool, limit time.Duration) int {
	c, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	v, err := playCase(ctx, rec, c.config, c.play, logDir, trouble)
	switch {
	case err != nil:
		rec.line("case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		rec.line("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return 1
	}
	rec.line("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}

func playCase(ctx context.Context, rec *record, cfg siteConfig, p play, logDir string, trouble bool) (verdict, error) {
	s, err := startSite(ctx, rec, cfg, logDir)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	v, err := p(s, trouble)
	if ctx.Err() != nil {
		return v, ctx.Err()
	}
	return v, err
}
