package kcwcontract

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwpb"
)

// Decode decodes the contract in a JSON file. It returns an *Error that lists every
// problem with its field path if data is not exactly one valid contract. The lists
// of the contract are in canonical order.
func Decode(data []byte) (*Contract, error) {
	root, err := parse(data)
	if err != nil {
		return nil, syntaxError("Decode", err)
	}
	return buildContract("Decode", root)
}

// syntaxError returns the error for data that is not exactly one JSON value.
func syntaxError(op string, err error) *Error {
	return &Error{
		Op:       op,
		Kind:     KindSyntax,
		Problems: []string{"contract: " + err.Error()},
		Err:      eris.Wrap(err, "parse the contract"),
	}
}

// buildContract returns the contract that root describes.
func buildContract(op string, root *node) (*Contract, error) {
	c := new(Contract)
	b := new(binder)
	b.bind("", root, reflect.ValueOf(c).Elem())
	c.applyDefaults()
	problems := b.problems
	kind := KindInvalid
	if len(problems) > 0 {
		kind = KindSyntax
	}
	for _, problem := range c.problems() {
		if !isReported(b.problems, problem) {
			problems = append(problems, problem)
		}
	}
	if len(problems) > 0 {
		return nil, &Error{Op: op, Kind: kind, Problems: problems}
	}
	c.sortLists()
	return c, nil
}

// isReported reports whether one of problems concerns the field of problem or a
// field that contains it.
func isReported(problems []string, problem string) bool {
	path, _, _ := strings.Cut(problem, ": ")
	for _, p := range problems {
		outer, _, _ := strings.Cut(p, ": ")
		if outer == "contract" || path == outer || strings.HasPrefix(path, outer+".") || strings.HasPrefix(path, outer+"[") {
			return true
		}
	}
	return false
}

// applyDefaults sets the defaults of fields that a file may omit.
func (c *Contract) applyDefaults() {
	c.Weight = cmp.Or(c.Weight, 1)
	for i := range c.Teams {
		c.Teams[i].Weight = cmp.Or(c.Teams[i].Weight, 1)
	}
}

// sortLists sorts the lists of c, whose items have unique names. It replaces nil by
// empty lists, which are encoded as [].
func (c *Contract) sortLists() {
	slices.SortFunc(c.Keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.PathPrefix, b.PathPrefix) })
	c.Keys = append([]Key{}, c.Keys...)
	c.Teams = append([]Team{}, c.Teams...)
	c.Models = append([]Model{}, c.Models...)
	c.Services = append([]Service{}, c.Services...)
	for i := range c.Services {
		s := &c.Services[i]
		s.Methods = append([]string{}, s.Methods...)
		s.NotRepeatable = append([]string{}, s.NotRepeatable...)
		slices.Sort(s.Methods)
		slices.Sort(s.NotRepeatable)
	}
}

// Canonical returns the contract as JSON. Equal contracts have the same bytes,
// whatever the order of their lists.
func (c *Contract) Canonical() []byte {
	return c.encode(false)
}

// encode returns the contract in canonical form, without the prepaid tokens if spec
// is set.
func (c *Contract) encode(spec bool) []byte {
	ordered := *c
	ordered.Keys = slices.Clone(c.Keys)
	ordered.Teams = slices.Clone(c.Teams)
	ordered.Models = slices.Clone(c.Models)
	ordered.Services = slices.Clone(c.Services)
	ordered.applyDefaults()
	ordered.sortLists()
	// The outer fields replace those of the same name in the embedded Contract.
	type plain Contract
	file := struct {
		Customer        string
		PrepaidTokens   *int64 `json:",omitempty"`
		Priority        int64
		Weight          int64
		Limits          any
		AnswerRetention string
		*plain
	}{
		Customer:        c.Customer,
		PrepaidTokens:   &c.PrepaidTokens,
		Priority:        c.Priority,
		Weight:          ordered.Weight,
		Limits:          c.Limits.fileForm(),
		AnswerRetention: c.AnswerRetention.String(),
		plain:           (*plain)(&ordered),
	}
	if spec {
		file.PrepaidTokens = nil
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(file); err != nil {
		panic("kcwcontract: " + err.Error())
	}
	return bytes.TrimRight(out.Bytes(), "\n")
}

// fileForm returns the limits as they are written to a file.
func (l Limits) fileForm() any {
	type plain Limits
	return struct {
		plain
		QueueDeadline string
	}{plain: plain(l), QueueDeadline: l.QueueDeadline.String()}
}

// Message returns the contract as it is stored in the ledger, without a revision.
// The contract must be valid.
func (c *Contract) Message() *kcwpb.Contract {
	m := &kcwpb.Contract{
		Customer:      c.Customer,
		PrepaidTokens: c.PrepaidTokens,
		Spec:          c.encode(true),
		Limits: &kcwpb.Limits{
			OpenRequests:      c.Limits.OpenRequests,
			RequestsPerMinute: c.Limits.RequestsPerMinute,
			TokensPerMinute:   c.Limits.TokensPerMinute,
		},
	}
	keys := slices.Clone(c.Keys)
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
	for _, key := range keys {
		if hash, err := hex.DecodeString(key.Hash); err == nil {
			m.KeyHashes = append(m.KeyHashes, hash)
		}
	}
	return m
}

// FromMessage returns the contract that is stored in the ledger as m. It returns an
// *Error if m does not hold a valid contract.
func FromMessage(m *kcwpb.Contract) (*Contract, error) {
	const op = "FromMessage"
	root, err := parse(m.GetSpec())
	if err != nil {
		return nil, syntaxError(op, err)
	}
	if root.kind == objectNode {
		prepaid := json.Number(strconv.FormatInt(m.GetPrepaidTokens(), 10))
		root.fields = append(root.fields, field{name: "PrepaidTokens", value: &node{scalar: prepaid}})
	}
	c, err := buildContract(op, root)
	if err != nil {
		return nil, err
	}
	if c.Customer != m.GetCustomer() {
		return nil, &Error{Op: op, Kind: KindInvalid, Problems: []string{"Customer: is not that of the message"}}
	}
	c.Revision = m.GetRevision()
	return c, nil
}

// DeadlineAt returns the deadline until which a request that arrives at now may
// wait for an upstream.
func (l Limits) DeadlineAt(now time.Time) time.Time {
	return now.Add(l.QueueDeadline)
}
