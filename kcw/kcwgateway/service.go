package kcwgateway

import (
	"net/http"
	"path"
	"slices"
	"strings"
	"time"
)

// servicesPath is the path under which plain services are called.
const servicesPath = "/services/"

// admitService checks a call of a plain service and fills in the fields of req that
// depend on the service.
func (g *Gateway) admitService(req *request, r *http.Request, body []byte, now time.Time) *refusal {
	if !isCanonicalPath(r) {
		return refuse(codeUnknownPath, now, "The path is not in its shortest form.")
	}
	service, ok := req.contract.Service(r.URL.Path)
	if !ok {
		return refuse(codeNotPermitted, now, "")
	}
	if !slices.Contains(service.Methods, r.Method) {
		return refuse(codeMethodNotAllowed, now, "")
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPath), "/")
	req.service = service.Name
	req.method = r.Method
	req.uri = "/" + rest
	if r.URL.RawQuery != "" {
		req.uri += "?" + r.URL.RawQuery
	}
	req.body = body
	req.cost = service.CostTokens
	req.reservation = service.CostTokens
	req.repeatable = req.repeatable && service.Repeatable(r.URL.Path)
	return nil
}

// isCanonicalPath reports whether the path has no dot segments, empty segments,
// escaped slashes or backslashes. The rules of a contract and any upstream interpret
// such a path alike.
func isCanonicalPath(r *http.Request) bool {
	escaped := strings.ToLower(r.URL.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(escaped, "\\") {
		return false
	}
	clean := path.Clean(r.URL.Path)
	return r.URL.Path == clean || r.URL.Path == clean+"/"
}
