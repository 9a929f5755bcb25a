// Command play plays the cases of this review: it starts the project's daemons as processes of their own, before stand-ins of
// the store, of runners and of clients, and judges what these have seen.
//
//	play CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a case.
const longest = 110 * time.Second

// play is one case. It returns whether the rule held.
type play func(d *deployment, trouble bool) (held bool, err error)

var plays = map[string]play{
	"versions":    playVersions,
	"walls":       playWalls,
	"garbage":     playGarbage,
	"holders":     playHolders,
	"slashes":     playSlashes,
	"revoked":     playRevoked,
	"slowreaders": playSlowReaders,
	"herd":        playHerd,
	"rows":        playRows,
	"rolling":     playRolling,
	"beside":      playBeside,
}

func main() { os.Exit(start(os.Args[1:])) }

func start(arguments []string) int {
	if len(arguments) != 2 || plays[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play versions|walls|holders|garbage|slashes|revoked|slowreaders|herd|rows|rolling|beside RECORD")
		return exitNotRun
	}
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	deployment, err := newDeployment(record)
	if err != nil {
		record.conclude("The case couldn't run: %v", err)
		return exitNotRun
	}
	defer deployment.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	verdict := make(chan int, 1)
	go func() { verdict <- judge(deployment, plays[arguments[0]]) }()
	select {
	case code := <-verdict:
		return code
	case <-stopped:
		record.conclude("The case was stopped.")
	case <-time.After(longest):
		record.conclude("The case took too long.")
	}
	return exitNotRun
}

// judge plays a case and returns its exit code.
func judge(deployment *deployment, played play) int {
	held, err := played(deployment, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		deployment.record.conclude("The case couldn't run: %v", err)
		return exitNotRun
	case held:
		deployment.record.conclude("The rule held.")
		return exitHeld
	default:
		deployment.record.conclude("The rule was broken.")
		return exitBroken
	}
}
