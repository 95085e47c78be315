// Command standin runs the cases of the review: it starts the daemons of a small deployment,
// with stand-ins of the operator, the platform, clients and workers around them.
//
//	standin CASE FOLDER with|without
//
// It is run in the root of the repository, with the disruption of the case or without it, and
// writes record.txt into the folder of the case. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
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
	const numArgs = 4
	if len(os.Args) != numArgs || cases[os.Args[1]] == nil || os.Args[3] != "with" && os.Args[3] != "without" {
		fmt.Fprintln(os.Stderr, "standin: give a case, its folder, and with or without")
		os.Exit(failed)
	}
	rec := newRecord(os.Args[2])
	rec.add("case %s, %s its disruption", os.Args[1], os.Args[3])
	code, err := cases[os.Args[1]](rec, os.Args[3] == "with")
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
