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

// Model returns the model called name, and whether the contract admits it.
func (c *Contract) Model(name string) (Model, bool) {
	i := slices.IndexFunc(c.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return c.Models[i], true
}

// Service returns the service whose prefix of the URL path callPath is the
// longest, and whether the contract admits one. A path that is not clean has
// none, so that no spelling leads past a prefix.
func (c *Contract) Service(callPath string) (Service, bool) {
	var best Service
	found := false
	for _, s := range c.Services {
		if under(callPath, s.PathPrefix) && (!found || len(s.PathPrefix) > len(best.PathPrefix)) {
			best, found = s, true
		}
	}
	return best, found && isClean(callPath)
}

// Admits says whether the service may be called by the HTTP method.
func (s Service) Admits(method string) bool {
	return slices.Contains(s.Methods, method)
}

// Repeatable says whether a call of the URL path callPath may be repeated. One
// whose path is not clean may not.
func (s Service) Repeatable(callPath string) bool {
	if !isClean(callPath) {
		return false
	}
	return !slices.ContainsFunc(s.NotRepeatable, func(prefix string) bool { return under(callPath, prefix) })
}

// isClean says whether callPath is clean but for one trailing slash.
func isClean(callPath string) bool {
	trimmed := strings.TrimSuffix(callPath, "/")
	return callPath == "/" || (trimmed != "" && path.Clean(trimmed) == trimmed)
}

// under says whether callPath is prefix or below it.
func under(callPath, prefix string) bool {
	if prefix == "/" {
		return strings.HasPrefix(callPath, "/")
	}
	rest, ok := strings.CutPrefix(callPath, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
