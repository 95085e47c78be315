package kcwsettings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

const labelRule = "label"

var (
	durationType  = reflect.TypeFor[time.Duration]()
	addrType      = reflect.TypeFor[netip.Addr]()
	addrPortType  = reflect.TypeFor[netip.AddrPort]()
	addrPortsType = reflect.TypeFor[[]netip.AddrPort]()
	stringsType   = reflect.TypeFor[[]string]()
)

// parse reads text as a value of type t. It panics if t is not supported.
func parse(t reflect.Type, text string) (reflect.Value, error) {
	switch t {
	case durationType:
		v, err := time.ParseDuration(text)
		return reflect.ValueOf(v), badValue(err, text, `a duration, as in 1.5s`)
	case addrType:
		v, err := netip.ParseAddr(text)
		return reflect.ValueOf(v), badValue(err, text, `an IP address`)
	case addrPortType:
		v, err := netip.ParseAddrPort(text)
		return reflect.ValueOf(v), badValue(err, text, `an IP address and port, as in 127.0.0.1:7000`)
	case addrPortsType:
		return parseAddrPorts(text)
	case stringsType:
		return reflect.ValueOf(splitList(text)), nil
	}
	return parseKind(t, text)
}

func parseKind(t reflect.Type, text string) (reflect.Value, error) {
	value := reflect.New(t).Elem()
	switch t.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		value.SetBool(v)
		return value, badValue(err, text, "true or false")
	case reflect.Int, reflect.Int32, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, t.Bits())
		value.SetInt(v)
		return value, badValue(err, text, "a whole number")
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v, err := strconv.ParseUint(text, 10, t.Bits())
		value.SetUint(v)
		return value, badValue(err, text, "a whole number from zero up")
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		value.SetFloat(v)
		return value, badValue(err, text, "a number")
	default:
		panic("kcwsettings: unsupported type " + t.String())
	}
	return value, nil
}

func parseAddrPorts(text string) (reflect.Value, error) {
	var list []netip.AddrPort
	for _, part := range splitList(text) {
		v, err := netip.ParseAddrPort(part)
		if err != nil {
			return reflect.Value{}, badValue(err, part, "an IP address and port, as in 127.0.0.1:7000")
		}
		list = append(list, v)
	}
	return reflect.ValueOf(list), nil
}

// splitList splits a list at commas and drops empty parts.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// badValue returns the error for text that is not what expected describes, or nil if
// err is nil.
func badValue(err error, text, expected string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%q is not %s", text, expected)
}

// rules holds the rules of a field's setting tag.
type rules struct {
	required bool
	min, max string
	oneOf    []string
	kind     reflect.Type
}

func rulesOf(field reflect.StructField) rules {
	r := rules{kind: field.Type}
	tag := field.Tag.Get("setting")
	if tag == "" {
		return r
	}
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			r.required = true
		case "min":
			r.min = value
		case "max":
			r.max = value
		case "oneof":
			r.oneOf = strings.Split(value, "|")
		default:
			panic("kcwsettings: unknown rule " + rule + " on " + field.Name)
		}
	}
	return r
}

// violation returns the rule that the value violates, or "".
func (r rules) violation(value reflect.Value, text string) string {
	switch {
	case r.required && isEmpty(value):
		return "required value is empty"
	case len(r.oneOf) > 0 && !slices.Contains(r.oneOf, text):
		return fmt.Sprintf("%q is not one of %s", text, strings.Join(r.oneOf, ", "))
	case r.min != "" && less(value, r.bound(r.min)):
		return fmt.Sprintf("%s is less than %s", text, r.min)
	case r.max != "" && less(r.bound(r.max), value):
		return fmt.Sprintf("%s is more than %s", text, r.max)
	}
	return ""
}

// isEmpty reports whether a value is empty. Numbers, zero included, never are.
func isEmpty(value reflect.Value) bool {
	switch value.Kind() {
	case reflect.String, reflect.Slice:
		return value.Len() == 0
	case reflect.Struct:
		return value.IsZero()
	}
	return false
}

func (r rules) bound(text string) reflect.Value {
	bound, err := parse(r.kind, text)
	if err != nil {
		panic("kcwsettings: bound: " + err.Error())
	}
	return bound
}

func less(a, b reflect.Value) bool {
	switch {
	case a.CanInt():
		return a.Int() < b.Int()
	case a.CanUint():
		return a.Uint() < b.Uint()
	case a.CanFloat():
		// NaN is out of every range.
		return !(a.Float() >= b.Float())
	}
	panic("kcwsettings: range on " + a.Type().String())
}
