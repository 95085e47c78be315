package kcwcontract

import (
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"
)

// Limits of the values in a contract.
const (
	maxTokens         = 1_000_000_000_000_000
	maxPriority       = 9
	maxWeight         = 1000
	maxNameBytes      = 63
	maxModelNameBytes = 128
	maxPathBytes      = 256
	maxItems          = 4096
	maxQueueDeadline  = 10 * time.Minute
	maxRetention      = 24 * time.Hour
	hashBytes         = 32
)

// methods lists the HTTP methods that a service may permit.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Validate returns an *Error of KindInvalid that lists every problem of c with
// its field path, or nil.
func (c *Contract) Validate() error {
	if problems := c.problems(); len(problems) > 0 {
		return &Error{Op: "Validate", Kind: KindInvalid, Problems: problems}
	}
	return nil
}

// checker collects the problems of a contract.
type checker struct {
	binder
}

// problems returns every problem of c, each with its field path in front.
func (c *Contract) problems() []string {
	k := new(checker)
	k.name("Customer", c.Customer)
	k.within("PrepaidTokens", c.PrepaidTokens, 0, maxTokens)
	k.within("Priority", c.Priority, 0, maxPriority)
	k.within("Weight", c.Weight, 1, maxWeight)
	k.durationWithin("AnswerRetention", c.AnswerRetention, 0, maxRetention)
	k.limits(c.Limits)
	k.keys(c)
	k.teams(c.Teams)
	k.models(c.Models)
	k.services(c.Services)
	return k.binder.problems
}

// name checks that text is a valid name.
func (k *checker) name(path, text string) {
	if text == "" || len(text) > maxNameBytes || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		k.addProblem(path, "%q is not 1 to %d lower case letters, digits and hyphens", text, maxNameBytes)
	}
}

// within checks that a number is in range.
func (k *checker) within(path string, n, least, most int64) {
	if n < least || n > most {
		k.addProblem(path, "%d is not from %d to %d", n, least, most)
	}
}

// durationWithin checks that a duration is in range.
func (k *checker) durationWithin(path string, d, least, most time.Duration) {
	if d < least || d > most {
		k.addProblem(path, "%s is not from %s to %s", d, least, most)
	}
}

// unique checks that no earlier item of the list has the name.
func (k *checker) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		k.addProblem(path, "%q stands twice", name)
	}
	seen[name] = true
}

func (k *checker) limits(l Limits) {
	k.within("Limits.OpenRequests", l.OpenRequests, 0, maxTokens)
	k.within("Limits.RequestsPerMinute", l.RequestsPerMinute, 0, maxTokens)
	k.within("Limits.TokensPerMinute", l.TokensPerMinute, 0, maxTokens)
	k.within("Limits.MaxPromptTokens", l.MaxPromptTokens, 1, maxTokens)
	k.within("Limits.MaxCompletionTokens", l.MaxCompletionTokens, 1, maxTokens)
	k.within("Limits.DefaultCompletionTokens", l.DefaultCompletionTokens, 1, max(1, min(l.MaxCompletionTokens, maxTokens)))
	k.durationWithin("Limits.QueueDeadline", l.QueueDeadline, 0, maxQueueDeadline)
}

func (k *checker) keys(c *Contract) {
	k.listLength("Keys", len(c.Keys))
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, key := range c.Keys {
		at := fmt.Sprintf("Keys[%d]", i)
		k.name(at+".Name", key.Name)
		k.unique(at+".Name", key.Name, names)
		hash, err := hex.DecodeString(key.Hash)
		if err != nil || len(hash) != hashBytes || key.Hash != strings.ToLower(key.Hash) {
			k.addProblem(at+".Hash", "is not a SHA-256 in lower case hexadecimal")
		}
		k.unique(at+".Hash", key.Hash, hashes)
		if _, found := c.Team(key.Team); key.Team != "" && !found {
			k.addProblem(at+".Team", "%q is not a team of the contract", key.Team)
		}
	}
}

// listLength checks that a list is not too long.
func (k *checker) listLength(path string, items int) {
	if items > maxItems {
		k.addProblem(path, "has %d items, more than %d", items, maxItems)
	}
}

func (k *checker) teams(teams []Team) {
	k.listLength("Teams", len(teams))
	names := make(map[string]bool)
	for i, team := range teams {
		at := fmt.Sprintf("Teams[%d]", i)
		k.name(at+".Name", team.Name)
		k.unique(at+".Name", team.Name, names)
		k.within(at+".Weight", team.Weight, 1, maxWeight)
		k.within(at+".Priority", team.Priority, 0, maxPriority)
	}
}

func (k *checker) models(models []Model) {
	k.listLength("Models", len(models))
	names := make(map[string]bool)
	for i, model := range models {
		at := fmt.Sprintf("Models[%d]", i)
		if model.Name == "" || len(model.Name) > maxModelNameBytes || strings.ContainsFunc(model.Name, isForbidden) {
			k.addProblem(at+".Name", "%q is not 1 to %d printable bytes without blanks", model.Name, maxModelNameBytes)
		}
		k.unique(at+".Name", model.Name, names)
		k.name(at+".Upstream", model.Upstream)
	}
}

// isForbidden reports whether r is not allowed in a model's name or a path.
func isForbidden(r rune) bool {
	return r <= ' ' || r > '~'
}

func (k *checker) services(services []Service) {
	k.listLength("Services", len(services))
	prefixes := make(map[string]bool)
	for i, service := range services {
		at := fmt.Sprintf("Services[%d]", i)
		k.name(at+".Name", service.Name)
		k.path(at+".PathPrefix", service.PathPrefix)
		k.unique(at+".PathPrefix", service.PathPrefix, prefixes)
		k.within(at+".CostTokens", service.CostTokens, 0, maxTokens)
		k.methods(at+".Methods", service.Methods)
		k.listLength(at+".NotRepeatable", len(service.NotRepeatable))
		seen := make(map[string]bool)
		for j, prefix := range service.NotRepeatable {
			inner := fmt.Sprintf("%s.NotRepeatable[%d]", at, j)
			k.path(inner, prefix)
			k.unique(inner, prefix, seen)
			if !hasPathPrefix(prefix, service.PathPrefix) {
				k.addProblem(inner, "%q is not under %q", prefix, service.PathPrefix)
			}
		}
	}
}

// path checks that text is a clean absolute path.
func (k *checker) path(at, text string) {
	if len(text) > maxPathBytes || !strings.HasPrefix(text, "/") || text != path.Clean(text) || strings.ContainsFunc(text, isForbidden) {
		k.addProblem(at, "%q is not a clean absolute path of at most %d bytes", text, maxPathBytes)
	}
}

// methods checks that a list of methods is not empty and that its items are known
// and unique.
func (k *checker) methods(at string, list []string) {
	if len(list) == 0 {
		k.addProblem(at, "is empty")
	}
	seen := make(map[string]bool)
	for i, method := range list {
		inner := fmt.Sprintf("%s[%d]", at, i)
		if !slices.Contains(methods, method) {
			k.addProblem(inner, "%q is not one of %s", method, strings.Join(methods, ", "))
		}
		k.unique(inner, method, seen)
	}
}
