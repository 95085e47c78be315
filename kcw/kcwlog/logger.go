// Package kcwlog writes the logs of a process as JSON lines through klog, so
// that code which logs with klog needs no logger passed to it.
//
// Each line has Time, Level and Message, the process's Program and Host, and
// the fields of the call, which are written in Pascal case. Callers never pass
// a key or the text of a request or answer.
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
	// DebugVerbosity is written at level debug and finer.
	DebugVerbosity = 4
	// TraceVerbosity is written at level trace only.
	TraceVerbosity = 8
)

// Config holds the settings of a Logger.
type Config struct {
	// Writer receives the lines; each line is one Write.
	Writer io.Writer
	// Level is error, warning, info, debug or trace; empty stands for info.
	Level string
	// Program and Host are added to each line.
	Program, Host string
}

// Kind classifies an Error.
type Kind int

// UnknownLevel means that Config.Level names no level.
const UnknownLevel Kind = 1

// Error is returned by this package.
type Error struct {
	Op    string
	Kind  Kind
	Level string
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwlog: %s: unknown level %q", e.Op, e.Level)
}

// Logger is the process's logger. It serves kratos as its log.Logger.
type Logger struct {
	logger *slog.Logger
}

var _ log.Logger = (*Logger)(nil)

// New makes klog and kratos write JSON lines for the whole process and returns
// the logger. The error is an *Error if the level is not known.
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

// Log writes one line for kratos. It returns no error.
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

// Close writes out what klog still holds.
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
	// The flag exists and the value is a number, so that Set cannot fail.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

// rename writes the built-in fields in Pascal case.
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
