package kcwgateway

import (
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"kingcupwick.example/kcw/kcwcontract"
)

// servicesPath is the path under which plain services are called.
const servicesPath = "/services/"

// checkService returns the plain service that a request calls, if the contract permits the call.
func checkService(contract *kcwcontract.Contract, r *http.Request, now time.Time) (*kcwcontract.Service, *refusal) {
	if !isCanonicalPath(r) {
		return nil, refuse(codeUnknownPath, now, "The path is not in its shortest form.")
	}
	service, ok := contract.Service(r.URL.Path)
	if !ok {
		return nil, refuse(codeNotPermitted, now, "")
	}
	if !slices.Contains(service.Methods, r.Method) {
		return nil, refuse(codeMethodNotAllowed, now, "")
	}
	return &service, nil
}

// admitService fills in the fields of req that depend on the service.
func admitService(req *request, service *kcwcontract.Service, r *http.Request, body []byte) {
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
