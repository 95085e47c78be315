package kcwsettings

import (
	"fmt"
	"reflect"

	"gopkg.in/ini.v1"
)

// decoder fills a struct from one file and collects the file's problems.
type decoder struct {
	lines    *lineTable
	problems []Problem
	// seen counts the sections decoded so far by header.
	seen map[string]int
	// present holds the names of the sections that the file has.
	present map[string]bool
}

// position identifies a section of the file: the nth with its header, from zero.
type position struct {
	header string
	nth    int
}

func (d *decoder) decode(sections []*ini.Section, target reflect.Value) {
	for _, section := range sections {
		at := position{header: section.Name(), nth: d.seen[section.Name()]}
		d.seen[at.header]++
		if at.header == ini.DefaultSection {
			d.rejectKeys(at, section)
			continue
		}
		d.section(at, section, target)
	}
	d.absentSections(target)
}

// rejectKeys reports keys before the first section.
func (d *decoder) rejectKeys(at position, section *ini.Section) {
	for _, key := range section.Keys() {
		d.report("", key.Name(), d.lines.key(at.header, at.nth, key.Name(), 0), "key outside of a section")
	}
}

// section fills the field of target that belongs to the section, or reports why it
// can't.
func (d *decoder) section(at position, section *ini.Section, target reflect.Value) {
	line := d.lines.section(at.header, at.nth)
	name, label, ok := splitHeader(at.header)
	if !ok {
		d.report(at.header, "", line, `label must be quoted, as in [`+name+` "label"]`)
		return
	}
	field := target.FieldByName(name)
	if !field.IsValid() || !isSection(field.Type()) {
		d.report(at.header, "", line, "unknown section")
		return
	}
	repeats := field.Kind() != reflect.Struct
	switch {
	case repeats && label == "":
		d.report(at.header, "", line, `section needs a label, as in [`+name+` "label"]`)
		return
	case !repeats && label != "":
		d.report(at.header, "", line, "section takes no label")
		return
	case at.nth > 0:
		d.report(at.header, "", line, "duplicate section")
		return
	}
	d.present[name] = true
	if !repeats {
		d.keys(at, section, field)
		return
	}
	element := reflect.New(field.Type().Elem()).Elem()
	setLabel(element, label)
	d.keys(at, section, element)
	if field.Kind() == reflect.Slice {
		field.Set(reflect.Append(field, element))
		return
	}
	if field.IsNil() {
		field.Set(reflect.MakeMap(field.Type()))
	}
	field.SetMapIndex(reflect.ValueOf(label), element)
}

// absentSections sets the defaults and reports the missing required keys of sections
// that are not in the file.
func (d *decoder) absentSections(target reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if !field.IsExported() || !isSection(field.Type) || d.present[field.Name] {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			d.keys(position{header: field.Name}, nil, target.Field(i))
			continue
		}
		if rulesOf(field).required {
			d.report(field.Name, "", 0, "at least one such section is required")
		}
	}
}

// keys fills the struct of one section. The section is nil if it is not in the file.
func (d *decoder) keys(at position, section *ini.Section, target reflect.Value) {
	known := map[string]bool{}
	for _, field := range keyFields(target) {
		known[field.info.Name] = true
		d.key(at, section, field)
	}
	if section == nil {
		return
	}
	for _, key := range section.Keys() {
		if !known[key.Name()] {
			d.report(at.header, key.Name(), d.lines.key(at.header, at.nth, key.Name(), 0), "unknown key")
		}
	}
}

// key fills the field of one key, sets its default if the key is absent, or reports
// why it can't.
func (d *decoder) key(at position, section *ini.Section, field keyField) {
	name := field.info.Name
	rules := rulesOf(field.info)
	if section == nil || !section.HasKey(name) {
		if text, ok := field.info.Tag.Lookup("default"); ok && field.value.IsZero() {
			mustParse(field, text)
		}
		if rules.required && field.value.IsZero() {
			d.report(at.header, name, 0, "required key is missing")
		}
		return
	}
	texts := section.Key(name).ValueWithShadows()
	if len(texts) > 1 {
		d.report(at.header, name, d.lines.key(at.header, at.nth, name, 1), "duplicate key")
		return
	}
	line := d.lines.key(at.header, at.nth, name, 0)
	text := section.Key(name).Value()
	value, err := parse(field.info.Type, text)
	if err != nil {
		d.report(at.header, name, line, err.Error())
		return
	}
	if reason := rules.violation(value, text); reason != "" {
		d.report(at.header, name, line, reason)
		return
	}
	field.value.Set(value)
}

func (d *decoder) report(section, key string, line int, reason string) {
	d.problems = append(d.problems, Problem{Section: section, Key: key, Line: line, Reason: reason})
}

// keyField is the field of one key in a section's struct.
type keyField struct {
	info  reflect.StructField
	value reflect.Value
}

// keyFields returns the key fields of a section, including those of embedded
// structs.
func keyFields(section reflect.Value) []keyField {
	var fields []keyField
	for i := range section.NumField() {
		info := section.Type().Field(i)
		switch {
		case info.Anonymous && info.Type.Kind() == reflect.Struct:
			fields = append(fields, keyFields(section.Field(i))...)
		case info.IsExported() && info.Tag.Get("setting") != labelRule:
			fields = append(fields, keyField{info: info, value: section.Field(i)})
		}
	}
	return fields
}

func isSection(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Struct:
		return true
	case reflect.Slice:
		return t.Elem().Kind() == reflect.Struct
	case reflect.Map:
		return t.Key().Kind() == reflect.String && t.Elem().Kind() == reflect.Struct
	}
	return false
}

func setLabel(element reflect.Value, label string) {
	for i := range element.NumField() {
		if element.Type().Field(i).Tag.Get("setting") == labelRule {
			element.Field(i).SetString(label)
		}
	}
}

func mustParse(field keyField, text string) {
	value, err := parse(field.info.Type, text)
	if err != nil {
		panic(fmt.Sprintf("kcwsettings: default of %s: %v", field.info.Name, err))
	}
	field.value.Set(value)
}
