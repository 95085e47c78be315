package kcwcontract

import (
	"path"
	"slices"
	"strings"
)

// KeyByHash returns the key whose SHA-256 is hash in hexadecimal, and whether
// there is one.
func (c *Contract) KeyByHash(hash string) (Key, bool) {
	i := slices.IndexFunc(c.Keys, func(k Key) bool { return k.Hash == hash })
	if i < 0 {
		return Key{}, false
	}
	return c.Keys[i], true
}

// Team returns the team called name, and whether there is one.
func (c *Contract) Team(name string) (Team, bool) {
	i := slices.IndexFunc(c.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Model returns the model called name, and whether the contract permits it.
func (c *Contract) Model(name string) (Model, bool) {
	i := slices.IndexFunc(c.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return c.Models[i], true
}

// Service returns the service with the longest prefix of the URL path callPath, and
// whether the contract permits one. It finds none for a path that is not clean, so
// that another spelling of a path can't evade the prefix check.
func (c *Contract) Service(callPath string) (Service, bool) {
	var best Service
	found := false
	for _, s := range c.Services {
		if hasPathPrefix(callPath, s.PathPrefix) && (!found || len(s.PathPrefix) > len(best.PathPrefix)) {
			best, found = s, true
		}
	}
	return best, found && isClean(callPath)
}

// Admits reports whether the service may be called with the HTTP method.
func (s Service) Admits(method string) bool {
	return slices.Contains(s.Methods, method)
}

// Repeatable reports whether a call of the URL path callPath may be repeated. A call
// whose path is not clean may not.
func (s Service) Repeatable(callPath string) bool {
	if !isClean(callPath) {
		return false
	}
	return !slices.ContainsFunc(s.NotRepeatable, func(prefix string) bool { return hasPathPrefix(callPath, prefix) })
}

// isClean reports whether callPath is clean in the sense of path.Clean, except for
// one trailing slash.
func isClean(callPath string) bool {
	trimmed := strings.TrimSuffix(callPath, "/")
	return callPath == "/" || (trimmed != "" && path.Clean(trimmed) == trimmed)
}

// hasPathPrefix reports whether callPath is prefix or a path below it.
func hasPathPrefix(callPath, prefix string) bool {
	if prefix == "/" {
		return strings.HasPrefix(callPath, "/")
	}
	rest, ok := strings.CutPrefix(callPath, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
