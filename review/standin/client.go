package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got. The status is zero if there was no whole answer.
type answer struct {
	status int
	seal   string
	body   string
}

// request sends one request to the router of the n-th machine on a new channel and records the
// answer.
func (f *fleet) request(n int, method, path, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.at(n, frontPort)+path, strings.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	f.record.add("client: %s %s %s at machine %d, %v", header[wire.RequestID], method, path, n, header)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		f.record.add("client: %s: no answer: %v", header[wire.RequestID], err)
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{response.StatusCode, response.Header.Get(wire.Seal), string(data)}
	if err != nil {
		a.status = 0
	}
	f.record.add("client: %s: status %d, seal %q, body %.200q, error %v", header[wire.RequestID], response.StatusCode, a.seal, a.body, err)
	return a
}

const host = "parish.example"

// readStatus reads an answer to its end and returns its status. The error is not nil if there was
// no whole answer.
func readStatus(response *http.Response, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
