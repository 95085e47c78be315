// Command kcwctl is the operator's tool: it applies contracts, tops up
// budgets, shows the ledger's state and repairs it.
//
// Exit codes: 0 success, 1 other failure, 2 invalid arguments or files, 3 stale
// revision, 4 not confirmed in time, 5 ledger unavailable and nothing changed,
// 6 outcome unknown, 7 refused, 8 key not accepted.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"kingcupwick.example/kcwctl/kcwtool"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	tool := kcwtool.New(kcwtool.Config{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	kind := tool.Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(kind))
}
