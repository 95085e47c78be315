package main

import (
	"context"
	"fmt"
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
	f.record.add("client: %s %s %s at machine %d, %v", header["X-Attempt-Id"], method, path, n, header)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		f.record.add("client: %s: no answer: %v", header["X-Attempt-Id"], err)
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{response.StatusCode, response.Header.Get("X-Response-Seal"), string(data)}
	if err != nil {
		a.status = 0
	}
	f.record.add("client: %s: status %d, seal %q, body %.200q, error %v", header["X-Attempt-Id"], response.StatusCode, a.seal, a.body, err)
	return a
}

const host = "parish.example"

// plainRoute returns a route of the configuration to the service desk.
func plainRoute(name, prefix, kind string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"route_type":%q,"timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false,"sticky":false,"resumable":false}`, name, host, prefix, kind)
}

// configuration returns a configuration with two routes to the service desk.
func configuration(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":"desk","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":%s}`,
		version, plainRoute("book", "/book/", "non_idempotent"), plainRoute("look", "/look/", "idempotent"), tenants)
}

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
