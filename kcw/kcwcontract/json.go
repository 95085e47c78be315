package kcwcontract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Bounds of a contract file.
const (
	// maxFileBytes bounds the size of a contract file.
	maxFileBytes = 1 << 20
	// maxDepth bounds how deep values are nested.
	maxDepth = 8
)

// node is one JSON value. Exactly one of the parts is set, by its type.
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

// parse reads exactly one JSON value from data. It keeps every member of an
// object, also those that stand twice.
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

// parseValue reads the next value, which is nested depth deep.
func parseValue(decoder *json.Decoder, depth int) (*node, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, unexpected(err)
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

// parseObject reads the members of an object and its end.
func parseObject(decoder *json.Decoder, depth int) (*node, error) {
	object := &node{kind: objectNode}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, unexpected(err)
		}
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		object.fields = append(object.fields, field{name: name.(string), value: value})
	}
	_, err := decoder.Token()
	return object, unexpected(err)
}

// parseArray reads the items of an array and its end.
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
	return array, unexpected(err)
}

// unexpected returns err, with the end of the file named as such.
func unexpected(err error) error {
	if err == io.EOF {
		return errors.New("the file ends too early")
	}
	return err
}
