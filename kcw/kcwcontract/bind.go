package kcwcontract

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// binder fills Go values from JSON values and collects every problem with the path
// of its field.
type binder struct {
	problems []string
}

// addProblem adds a problem with the field at path; an empty path stands for the
// contract.
func (b *binder) addProblem(path, format string, args ...any) {
	if path == "" {
		path = "contract"
	}
	b.problems = append(b.problems, path+": "+fmt.Sprintf(format, args...))
}

var durationType = reflect.TypeOf(time.Duration(0))

// bind fills target from value.
func (b *binder) bind(path string, value *node, target reflect.Value) {
	if target.Type() == durationType {
		b.bindDuration(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		b.bindStruct(path, value, target)
	case reflect.Slice:
		b.bindSlice(path, value, target)
	case reflect.String:
		b.bindString(path, value, target)
	case reflect.Int64:
		b.bindInteger(path, value, target)
	default:
		panic("kcwcontract: unsupported field type")
	}
}

// bindStruct fills a struct. Field names are case-sensitive.
func (b *binder) bindStruct(path string, value *node, target reflect.Value) {
	if value.kind != objectNode {
		b.addProblem(path, "is not an object")
		return
	}
	seen := make(map[string]bool)
	for _, member := range value.fields {
		at := joinPath(path, member.name)
		info, known := target.Type().FieldByName(member.name)
		switch {
		case !known || info.Tag.Get("json") == "-":
			b.addProblem(at, "is not a known field")
		case seen[member.name]:
			b.addProblem(at, "stands twice")
		default:
			b.bind(at, member.value, target.FieldByIndex(info.Index))
		}
		seen[member.name] = true
	}
	for i := range target.NumField() {
		info := target.Type().Field(i)
		if info.Tag.Get("required") == "true" && !seen[info.Name] {
			b.addProblem(joinPath(path, info.Name), "is missing")
		}
	}
}

// bindSlice fills a slice.
func (b *binder) bindSlice(path string, value *node, target reflect.Value) {
	if value.kind != arrayNode {
		b.addProblem(path, "is not a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(value.items), len(value.items))
	for i, item := range value.items {
		b.bind(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))
	}
	target.Set(list)
}

// bindString fills a string.
func (b *binder) bindString(path string, value *node, target reflect.Value) {
	text, ok := value.scalar.(string)
	if !ok {
		b.addProblem(path, "is not a string")
		return
	}
	target.SetString(text)
}

// bindInteger fills an int64.
func (b *binder) bindInteger(path string, value *node, target reflect.Value) {
	number, ok := value.scalar.(json.Number)
	if !ok {
		b.addProblem(path, "is not a number")
		return
	}
	n, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil {
		b.addProblem(path, "%s is not a whole number in range", number)
		return
	}
	target.SetInt(n)
}

// bindDuration fills a duration from a string such as "5s".
func (b *binder) bindDuration(path string, value *node, target reflect.Value) {
	text, ok := value.scalar.(string)
	if !ok {
		b.addProblem(path, "is not a duration such as \"5s\"")
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		b.addProblem(path, "%q is not a duration such as \"5s\"", text)
		return
	}
	target.SetInt(int64(duration))
}

// joinPath returns the path of the field called name in the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
