// Command kcw-standin simulates a model engine or a plain HTTP service for tests
// and demonstrations. It injects faults on request and records every call.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-standin/kcwengine"
	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwlistener"
	"kingcupwick.example/kcw-standin/kcwplain"
	"kingcupwick.example/kcw-standin/kcwrecord"
	"kingcupwick.example/kcw-standin/kcwsetup"
	"kingcupwick.example/kcw/kcwlog"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	flags := flag.NewFlagSet("kcw-standin", flag.ContinueOnError)
	path := flags.String("settings", "", "settings file, in INI")
	check := flags.Bool("check", false, "check the settings file and exit")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("KCW_STANDIN")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		os.Exit(exitUsage)
	}
	s, err := kcwsetup.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if *check {
		return
	}
	if err := run(s); err != nil {
		klog.ErrorS(err, "Stand-in failed")
		klog.Flush()
		os.Exit(exitFailed)
	}
}

func run(s *kcwsetup.Settings) error {
	logger, err := kcwlog.New(kcwlog.Config{Writer: os.Stderr, Level: s.Standin.LogLevel, Program: "kcw-standin", Host: s.Standin.Address.String()})
	if err != nil {
		return err
	}
	defer logger.Close()
	file, err := openRecord(s.Standin.Record)
	if err != nil {
		return err
	}
	if file != nil {
		defer file.Close()
	}
	servers, err := newServers(s, file)
	if err != nil {
		return err
	}
	app := kratos.New(
		kratos.Name("kcw-standin"),
		kratos.Logger(logger),
		kratos.Server(servers...),
		kratos.StopTimeout(s.Standin.StopTimeout),
	)
	return app.Run()
}

// openRecord opens the record file for appending. It returns nil if path is
// empty.
func openRecord(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, eris.Wrap(err, "create the record's folder")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open the record")
	}
	return file, nil
}

// newServers returns the server of the simulated service and the control server,
// which sets faults and returns the record.
func newServers(s *kcwsetup.Settings, file *os.File) ([]transport.Server, error) {
	listener, err := kcwlistener.New(s.Standin.Address)
	if err != nil {
		return nil, err
	}
	controlListener, err := kcwlistener.New(s.Standin.Control)
	if err != nil {
		return nil, err
	}
	var out io.Writer
	if file != nil {
		out = file
	}
	record := kcwrecord.New(out)
	injector := kcwfault.New(func(faults kcwfault.Config) {
		klog.InfoS("Faults set", "Order", faults)
		if err := listener.Set(faults.Refuse, faults.Ignore); err != nil {
			klog.ErrorS(err, "Listener not reopened")
		}
	})
	service := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0))
	service.HandlePrefix("/", newHandler(s, record, injector))
	controlServer := khttp.NewServer(khttp.Listener(controlListener), khttp.Timeout(0))
	controlServer.Handle("/record", record)
	controlServer.Handle("/fault", injector)
	for _, path := range []string{"/healthz", "/readyz"} {
		controlServer.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	}
	return []transport.Server{&server{service}, &server{controlServer}}, nil
}

func newHandler(s *kcwsetup.Settings, record *kcwrecord.Record, injector *kcwfault.Injector) http.Handler {
	if s.Standin.Kind == "plain" {
		return kcwplain.New(kcwplain.Config{Work: s.Plain.Work, Capacity: s.Plain.Capacity, Record: record, Faults: injector})
	}
	return kcwengine.New(kcwengine.Config{
		Models:        s.Engine.Models,
		Capacity:      s.Engine.Capacity,
		FirstToken:    s.Engine.FirstToken,
		BetweenTokens: s.Engine.BetweenTokens,
		LoadLag:       s.Engine.LoadLag,
		Record:        record,
		Faults:        injector,
	})
}

// server is an HTTP server that closes the connections still open after the
// timeout of a graceful shutdown.
type server struct {
	*khttp.Server
}

// Stop waits for the requests in progress and, when ctx ends, closes the
// remaining connections.
func (s *server) Stop(ctx context.Context) error {
	if err := s.Server.Stop(ctx); err != nil {
		return s.Close()
	}
	return nil
}
