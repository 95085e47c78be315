package kcwcontract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Limits of a contract file.
const (
	// maxFileBytes bounds the size of the file.
	maxFileBytes = 1 << 20
	// maxDepth bounds the nesting of values.
	maxDepth = 8
)

// node is one JSON value. Only the field that matches its kind is used.
type node struct {
	// scalar is a string, json.Number, bool or nil.
	scalar any
	fields []field
	items  []*node
	kind   nodeKind
}

// field is one member of a JSON object.
type field struct {
	name  string
	value *node
}

// nodeKind is the type of a JSON value.
type nodeKind int

const (
	scalarNode nodeKind = iota
	objectNode
	arrayNode
)

// parse reads exactly one JSON value from data. It keeps every member of an object,
// duplicates included.
func parse(data []byte) (*node, error) {
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("the file has %d bytes, more than %d", len(data), maxFileBytes)
	}
	if !utf8.Valid(data) {
		return nil, errors.New("the file is not UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	root, err := parseValue(decoder, 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("data follows the contract")
	}
	return root, nil
}

// parseValue reads the next value, which is at nesting level depth.
func parseValue(decoder *json.Decoder, depth int) (*node, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, explainEOF(err)
	}
	delimiter, nested := token.(json.Delim)
	if !nested {
		return &node{scalar: token}, nil
	}
	if depth == maxDepth {
		return nil, fmt.Errorf("values are nested more than %d deep", maxDepth)
	}
	if delimiter == '{' {
		return parseObject(decoder, depth)
	}
	return parseArray(decoder, depth)
}

// parseObject reads the members and the closing brace of an object.
func parseObject(decoder *json.Decoder, depth int) (*node, error) {
	object := &node{kind: objectNode}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, explainEOF(err)
		}
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		object.fields = append(object.fields, field{name: name.(string), value: value})
	}
	_, err := decoder.Token()
	return object, explainEOF(err)
}

// parseArray reads the items and the closing bracket of an array.
func parseArray(decoder *json.Decoder, depth int) (*node, error) {
	array := &node{kind: arrayNode}
	for decoder.More() {
		item, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		array.items = append(array.items, item)
	}
	_, err := decoder.Token()
	return array, explainEOF(err)
}

// explainEOF returns err, or a clearer error for the end of the file.
func explainEOF(err error) error {
	if err == io.EOF {
		return errors.New("the file ends too early")
	}
	return err
}
