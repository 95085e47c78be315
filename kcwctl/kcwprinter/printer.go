// Package kcwprinter writes rows as a table for people or as JSON for
// programs.
package kcwprinter

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Formats of a Printer.
const (
	Table = "table"
	JSON  = "json"
)

// Config holds the settings of a Printer.
type Config struct {
	Out io.Writer
	// Format is Table or JSON.
	Format string
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// UnknownFormat means that Config.Format is neither Table nor JSON.
	UnknownFormat Kind = iota + 1
	// Write means that the output could not be written.
	Write
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Kind == UnknownFormat {
		return "kcwprinter: the output format is neither table nor json"
	}
	return fmt.Sprintf("kcwprinter: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Printer writes rows to one writer in one format.
type Printer struct {
	cfg Config
}

// New returns a Printer. The error is an *Error of kind UnknownFormat.
func New(cfg Config) (*Printer, error) {
	if cfg.Format != Table && cfg.Format != JSON {
		return nil, &Error{Op: "new", Kind: UnknownFormat}
	}
	return &Printer{cfg: cfg}, nil
}

// Print writes rows, a slice of structs with exported fields. The JSON form is
// an array of objects; the table has a column for each field. The error is an
// *Error of kind Write. Print panics if rows is not a slice of structs.
func (p *Printer) Print(rows any) error {
	list := reflect.ValueOf(rows)
	if list.Kind() != reflect.Slice || list.Type().Elem().Kind() != reflect.Struct {
		panic("kcwprinter: rows is not a slice of structs")
	}
	if p.cfg.Format == JSON {
		return p.printJSON(list)
	}
	return p.printTable(list)
}

func (p *Printer) printJSON(list reflect.Value) error {
	if list.Len() == 0 {
		// A nil slice would be encoded as null.
		list = reflect.MakeSlice(list.Type(), 0, 0)
	}
	data, err := json.MarshalIndent(list.Interface(), "", "  ")
	if err == nil {
		_, err = fmt.Fprintf(p.cfg.Out, "%s\n", data)
	}
	return wrap(err)
}

func (p *Printer) printTable(list reflect.Value) error {
	const padding = 2
	out := tabwriter.NewWriter(p.cfg.Out, 0, 0, padding, ' ', 0)
	row := list.Type().Elem()
	var cells []string
	for i := range row.NumField() {
		cells = append(cells, strings.ToUpper(row.Field(i).Name))
	}
	_, err := fmt.Fprintln(out, strings.Join(cells, "\t"))
	for i := range list.Len() {
		if err != nil {
			break
		}
		cells = cells[:0]
		for j := range row.NumField() {
			cells = append(cells, cell(list.Index(i).Field(j).Interface()))
		}
		_, err = fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	if err != nil {
		return wrap(err)
	}
	return wrap(out.Flush())
}

// cell returns the text of a value in a table: "-" for an empty text or a zero time.
func cell(value any) string {
	switch v := value.(type) {
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	case string:
		if v == "" {
			return "-"
		}
		return v
	}
	return fmt.Sprint(value)
}

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "print", Kind: Write, Err: eris.Wrap(err, "write the output")}
}
