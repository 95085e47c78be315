// Command standin2 plays the cases of the second review: it starts the project's own programs as
// separate processes, with stand-ins for the platform, workers and clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	numArgs     = 2
	usageFormat = "standin2: the cases are %v\n"
)

func main() {
	cases := map[string]func(*fleet) bool{
		"retention": playRetention,
		"refused":   playRefused,
		"hedge":     playHedge,
		"seeds":     playSeeds,
		"keys":      playKeys,
	}
	if len(os.Args) != numArgs || cases[os.Args[1]] == nil {
		fmt.Printf(usageFormat, cases)
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play plays a case and returns the exit code.
func play(run func(*fleet) bool) (code int) {
	var f *fleet
	defer func() {
		problem := recover()
		if f != nil {
			f.stop()
		}
		var notRun errCase
		if err, isError := problem.(error); isError && errors.As(err, &notRun) {
			fmt.Println("the case could not run:", notRun.text)
			code = exitNotRun
			return
		}
		if problem != nil {
			panic(problem)
		}
	}()
	f = newFleet()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitNotRun)
	}()
	if run(f) {
		f.log("RESULT: the rule was broken")
		return exitBroken
	}
	f.log("RESULT: the rule held")
	return exitHeld
}
