package kcwupstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the headers that belong to one connection (RFC 9110, "HTTP
// Semantics", 2022, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that belong to one connection.
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

// CopyHeader adds the headers of an answer to those for its caller, without
// the ones that belong to one connection or to the length of the body.
func CopyHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
