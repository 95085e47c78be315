package kcwupstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, "HTTP Semantics", 2022,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the hop-by-hop headers, including those that the Connection
// header names.
func removeHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// CopyHeader adds the headers of an upstream's answer to those of the answer to the
// caller, without hop-by-hop headers and Content-Length.
func CopyHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
