// Command kit3 plays the cases of the third review, with stand-ins for clients, workers and
// the provider in one process and the fleet's programs as processes of their own.
//
//	kit3 CASE RECORD
//
// It is started in the repository's root. With TROUBLE=0 in the environment it leaves the
// disruption out. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one case. It reports whether the rule was broken.
type play func(r *record, trouble bool) (broken bool, err error)

func main() {
	plays := map[string]play{"crash": playCrash, "parts": playParts, "batches": playBatches, "founding": playFounding, "writers": playWriters, "near": playNear}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "kit3: give crash, parts, batches, founding, writers or near, and the file of the record")
		os.Exit(exitFailed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit3:", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("disruption: %v", trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		broken, err := p(r, trouble)
		done <- result{broken, err}
	}()
	var got result
	select {
	case got = <-done:
	case <-stopped:
		// The processes of the fleet end with this one.
		return exitFailed
	}
	code := exitHeld
	switch {
	case got.err != nil:
		r.say("the case could not run: %v", got.err)
		code = exitFailed
	case got.broken:
		r.say("the rule is broken")
		code = exitBroken
	default:
		r.say("the rule held")
	}
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, "kit3:", err)
		return exitFailed
	}
	return code
}
