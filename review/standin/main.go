// Command standin runs the cases of the review: it starts the daemons of a small deployment,
// with stand-ins of the operator, the platform, clients and workers around them.
//
//	standin CASE FOLDER
//
// It is run in the root of the repository and writes record.txt into the folder of the case. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

const (
	held = iota
	broken
	failed
)

func main() {
	cases := map[string]func(rec *record, trouble bool) (int, error){
		"founder":  founderCase,
		"give-up":  giveUpCase,
		"taint":    taintCase,
		"odd-list": oddListCase,
		"stop":     stopCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: give a case and its folder")
		os.Exit(failed)
	}
	rec := newRecord(os.Args[2])
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		code = failed
	}
	rec.add("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	if err := rec.write(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		code = failed
	}
	os.Exit(code)
}
