package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// wireFiles hold the names of the platform's headers and the forms of its documents, with verbs of
// fmt in place of values. Go code outside the folder platform contains no such names.
//
//go:embed wire
var wireFiles embed.FS

// wire holds the names of headers.
var wire = loadHeaders()

// headers are the names of the platform's headers.
type headers struct {
	RequestID, Deadline, Model, TokenCounts, Prompt, Seal, Team, ExpectedUpstream, Upstream string
}

func loadHeaders() headers {
	var h headers
	if err := json.Unmarshal([]byte(form("headers.json")), &h); err != nil {
		panic(err)
	}
	return h
}

// form returns the text of a file of wireFiles.
func form(name string) string {
	text, err := wireFiles.ReadFile("wire/" + name)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// document returns a configuration document with one team.
func document(version, prepaid int, service string, routes ...string) string {
	return fmt.Sprintf(form("configuration.json"), version, strings.Join(routes, ","), service, fmt.Sprintf(form("team.json"), prepaid))
}

// plainDocument returns a configuration document with two routes to the service desk: book is not
// idempotent, and look is.
func plainDocument(version int) string {
	route := form("plain-route.json")
	return document(version, 100_000, form("plain-service.json"),
		fmt.Sprintf(route, "book", host, "/book/", "non_idempotent"), fmt.Sprintf(route, "look", host, "/look/", "idempotent"))
}

// streamRoute returns a route of streams to the service model.
func streamRoute(name, prefix string, timeout time.Duration, maxAttempts int, resumable bool) string {
	return fmt.Sprintf(form("stream-route.json"), name, host, prefix, timeout.Milliseconds(), maxAttempts, resumable)
}

// engineService returns the service model, whose events hold the given number of tokens.
func engineService(eventTokens int) string {
	return fmt.Sprintf(form("engine-service.json"), eventTokens)
}
