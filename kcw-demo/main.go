// Command kcw-demo is the client of the demonstration. The subcommand ready
// checks whether a process is ready, send sends requests through the routers,
// and compare checks the ledger's bills against the stand-ins' records.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw-demo/kcwscenario"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

func main() {
	root := &ffcli.Command{
		Name:        "kcw-demo",
		ShortUsage:  "kcw-demo <ready|send|compare> [flags]",
		Subcommands: []*ffcli.Command{readyCommand(), sendCommand(), compareCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "kcw-demo:", err)
		os.Exit(1)
	}
}

func readyCommand() *ffcli.Command {
	const timeout = 2 * time.Second
	return &ffcli.Command{Name: "ready", ShortUsage: "kcw-demo ready URL", ShortHelp: "check whether a process is ready", Exec: func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return flag.ErrHelp
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := get(ctx, args[0])
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return eris.New(response.Status)
		}
		return nil
	}}
}

func sendCommand() *ffcli.Command {
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	routers := flags.String("routers", "", "comma-separated base URLs of the routers")
	keyFile := flags.String("key-file", "", "`file` with the customer's key")
	calls := flags.String("calls", "", "`file` to which the outcomes of the requests are written")
	cfg := kcwscenario.Config{Out: os.Stdout}
	flags.StringVar(&cfg.Customer, "customer", "", "customer that the key belongs to")
	flags.StringVar(&cfg.Model, "model", "kcw-model", "name of the model")
	flags.StringVar(&cfg.Service, "service", "/services/parish-desk", "path of the plain service")
	flags.Int64Var(&cfg.Cost, "cost", 0, "price in tokens of a call to the plain service")
	return &ffcli.Command{Name: "send", FlagSet: flags, ShortHelp: "send the requests and write their outcomes", Exec: func(ctx context.Context, _ []string) error {
		key, err := os.ReadFile(*keyFile)
		if err != nil {
			return eris.Wrap(err, "read the key")
		}
		cfg.Key = strings.TrimSpace(string(key))
		cfg.Routers = strings.Split(*routers, ",")
		results, err := kcwscenario.New(cfg).Run(ctx)
		return errors.Join(err, writeJSON(*calls, results))
	}}
}

func compareCommand() *ffcli.Command {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	calls := flags.String("calls", "", "`file` that send wrote")
	dump := flags.String("dump", "", "`file` that kcwctl dump wrote")
	records := flags.String("records", "", "comma-separated URLs of the stand-ins' records")
	return &ffcli.Command{Name: "compare", FlagSet: flags, ShortHelp: "check the ledger's bills against the records", Exec: func(ctx context.Context, _ []string) error {
		var cfg kcwaudit.Config
		if err := errors.Join(readJSON(*dump, &cfg), readJSON(*calls, &cfg.Calls)); err != nil {
			return err
		}
		for _, url := range strings.Split(*records, ",") {
			entries, err := fetchRecord(ctx, url)
			if err != nil {
				return err
			}
			cfg.Entries = append(cfg.Entries, entries...)
		}
		return printReport(cfg)
	}}
}

func printReport(cfg kcwaudit.Config) error {
	var billed int64
	for _, budget := range cfg.Customers {
		billed += budget.Billed
	}
	fmt.Printf("  %d answers, %d requests at the stand-ins, %d claims, %d tokens billed\n",
		len(cfg.Calls), len(cfg.Entries), len(cfg.Claims), billed)
	problems := kcwaudit.New(cfg).Problems()
	for _, problem := range problems {
		fmt.Println("  PROBLEM", problem)
	}
	if len(problems) > 0 || len(cfg.Calls) == 0 {
		return eris.Errorf("%d problems", len(problems))
	}
	return nil
}

func fetchRecord(ctx context.Context, url string) ([]kcwrecord.Entry, error) {
	response, err := get(ctx, url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var entries []kcwrecord.Entry
	if err := json.NewDecoder(response.Body).Decode(&entries); err != nil {
		return nil, eris.Wrap(err, "read a record")
	}
	return entries, nil
}

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "make the request")
	}
	response, err := http.DefaultClient.Do(request)
	return response, eris.Wrap(err, "get")
}

func readJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(json.Unmarshal(data, value), path)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "write")
}
