package main

import (
	"embed"
	"encoding/json"
	"strconv"
	"strings"
)

//go:embed wire
var wire embed.FS

// names are the platform's names on the wire, kept in wire/names.json.
var names = readNames()

type wireNames struct {
	Attempt, Deadline, Expect, Instance, Load, Model, NotRun, Prompt, Seal, Tokens string
	// Report, Events and Kept are paths at a worker, and ReportBody is the answer to Report.
	Report, Events, Kept, ReportBody string
}

func readNames() wireNames {
	var n wireNames
	text, err := wire.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// configuration returns the operator's document with a version.
func configuration(version int) string {
	text, err := wire.ReadFile("wire/configuration.json")
	if err != nil {
		panic(err)
	}
	return strings.Replace(string(text), "VERSION", strconv.Itoa(version), 1)
}
