package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the platform's names of headers and fields. Go code outside the folder platform
// contains no such names.
//
//go:embed names.json
var namesFile []byte

// names are the platform's names, by the ones that this program uses.
var names = loadNames()

// wireNames are the platform's names of headers and of fields of documents.
type wireNames struct{ Headers, Fields map[string]string }

func loadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// header returns the platform's name of a header.
func header(name string) string {
	if text := names.Headers[name]; text != "" {
		return text
	}
	panic("no name of a header: " + name)
}

// encode returns a document in the platform's form.
func encode(document any) []byte {
	body, err := json.Marshal(rename(document))
	must(err)
	return body
}

// rename returns a document with the platform's names of fields.
func rename(value any) any {
	switch v := value.(type) {
	case map[string]any:
		renamed := make(map[string]any, len(v))
		for name, field := range v {
			if text := names.Fields[name]; text != "" {
				name = text
			}
			renamed[name] = rename(field)
		}
		return renamed
	case []any:
		renamed := make([]any, len(v))
		for i, element := range v {
			renamed[i] = rename(element)
		}
		return renamed
	}
	return value
}
