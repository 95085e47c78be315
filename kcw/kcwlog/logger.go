// Package kcwlog configures klog to write a process's logs as JSON lines, so that
// code which logs with klog needs no logger as an argument.
//
// Each line has Time, Level and Message, the process's Program and Host, and the
// fields of the call, whose names are in Pascal case. Callers must not log keys or
// the text of requests and answers.
package kcwlog

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strconv"

	"github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// Verbosities of klog.V.
const (
	// DebugVerbosity is logged at levels debug and trace.
	DebugVerbosity = 4
	// TraceVerbosity is logged at level trace only.
	TraceVerbosity = 8
)

// Config configures a Logger.
type Config struct {
	// Writer receives the lines, one per call of Write.
	Writer io.Writer
	// Level is error, warning, info, debug or trace; info if empty.
	Level string
	// Program and Host are added to each line.
	Program, Host string
}

// Kind classifies an Error.
type Kind int

// UnknownLevel means that Config.Level is not a known level.
const UnknownLevel Kind = 1

// Error is returned by this package.
type Error struct {
	Op    string
	Kind  Kind
	Level string
}

// Error returns the operation and the level.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwlog: %s: unknown level %q", e.Op, e.Level)
}

// Logger is the process's logger. It implements kratos's log.Logger.
type Logger struct {
	logger *slog.Logger
}

var _ log.Logger = (*Logger)(nil)

// New configures klog and kratos to write JSON lines for the whole process and
// returns the logger. The error is an *Error if the level is unknown.
func New(cfg Config) (*Logger, error) {
	level, verbosity, ok := levelOf(cfg.Level)
	if !ok {
		return nil, &Error{Op: "new", Kind: UnknownLevel, Level: cfg.Level}
	}
	handler := slog.NewJSONHandler(cfg.Writer, &slog.HandlerOptions{Level: level, ReplaceAttr: rename})
	logger := slog.New(handler).With("Program", cfg.Program, "Host", cfg.Host)
	setVerbosity(verbosity)
	klog.SetSlogLogger(logger)
	l := &Logger{logger: logger}
	log.SetLogger(l)
	return l, nil
}

// Log writes one line for kratos. It never returns an error.
func (l *Logger) Log(level log.Level, keyvals ...any) error {
	message := "kratos"
	var rest []any
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == log.DefaultMessageKey {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		rest = append(rest, keyvals[i], keyvals[i+1])
	}
	switch level {
	case log.LevelDebug:
		klog.V(DebugVerbosity).InfoS(message, rest...)
	case log.LevelInfo:
		klog.InfoS(message, rest...)
	case log.LevelWarn:
		l.logger.Warn(message, rest...)
	default:
		klog.ErrorS(errors.New(message), "kratos", rest...)
	}
	return nil
}

// Close flushes the lines that klog has buffered.
func (l *Logger) Close() { klog.Flush() }

func levelOf(name string) (level slog.Level, verbosity int, ok bool) {
	switch name {
	case "error":
		return slog.LevelError, 0, true
	case "warning":
		return slog.LevelWarn, 0, true
	case "", "info":
		return slog.LevelInfo, 0, true
	case "debug":
		return slog.Level(-DebugVerbosity), DebugVerbosity, true
	case "trace":
		return slog.Level(-TraceVerbosity), TraceVerbosity, true
	}
	return 0, 0, false
}

func setVerbosity(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Set cannot fail: InitFlags has defined the flag and the value is a number.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

// rename changes the names of the built-in fields to Pascal case.
func rename(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attr
	}
	switch attr.Key {
	case slog.TimeKey:
		attr.Key = "Time"
	case slog.LevelKey:
		attr.Key = "Level"
		if level, ok := attr.Value.Any().(slog.Level); ok && level < slog.LevelDebug {
			attr.Value = slog.StringValue("TRACE")
		}
	case slog.MessageKey:
		attr.Key = "Message"
	case "err":
		attr.Key = "Error"
	}
	return attr
}
