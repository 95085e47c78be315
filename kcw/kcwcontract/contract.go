// Package kcwcontract defines a customer's contract, which sets every limit,
// priority, permission and budget of the customer. It reads and validates contract
// files and writes the canonical form.
package kcwcontract

import "time"

// Contract is one customer's contract. Lists are ordered by name in the
// canonical form.
type Contract struct {
	// Customer is the name of the customer.
	Customer string `required:"true"`
	// PrepaidTokens is the prepaid budget in tokens.
	PrepaidTokens int64 `required:"true"`
	// Priority orders customers in queues, from 0 to 9; a larger one goes first.
	Priority int64
	// Weight is the customer's share among customers of equal priority, 1 if absent.
	Weight int64
	// Limits bounds the customer's requests.
	Limits Limits `required:"true"`
	// AnswerRetention is how long a complete answer is kept for retries. If it is
	// zero the router's settings apply.
	AnswerRetention time.Duration
	Keys            []Key `required:"true"`
	Teams           []Team
	Models          []Model
	Services        []Service

	// Revision is the contract's revision in the ledger, zero if the contract was
	// read from a file.
	Revision uint64 `json:"-"`
}

// Limits bounds the requests of one customer. OpenRequests, RequestsPerMinute and
// TokensPerMinute are unlimited if zero.
type Limits struct {
	OpenRequests            int64 `required:"true"`
	RequestsPerMinute       int64 `required:"true"`
	TokensPerMinute         int64 `required:"true"`
	MaxPromptTokens         int64 `required:"true"`
	MaxCompletionTokens     int64 `required:"true"`
	DefaultCompletionTokens int64 `required:"true"`
	// QueueDeadline is the longest that a request may wait for an upstream.
	QueueDeadline time.Duration `required:"true"`
}

// Key is one API key of the customer. Hash is the SHA-256 of the key in hexadecimal;
// the key itself is never part of a contract.
type Key struct {
	Name string `required:"true"`
	Hash string `required:"true"`
	// Team is the team whose share the key's requests use, empty for none.
	Team string
}

// Team is one team of the customer. Weight and Priority rank it among the
// customer's teams.
type Team struct {
	Name string `required:"true"`
	// Weight is the team's share among teams of equal priority, 1 if absent.
	Weight   int64
	Priority int64
}

// Model is one model that the contract permits. Upstream is the name of the service
// that serves it.
type Model struct {
	Name     string `required:"true"`
	Upstream string `required:"true"`
}

// Service is one plain HTTP service that the contract permits, by path.
type Service struct {
	// Name is the name of the upstream service.
	Name string `required:"true"`
	// PathPrefix is the prefix of the URL paths that lead to the service.
	PathPrefix string `required:"true"`
	// Methods lists the HTTP methods that the contract permits.
	Methods []string `required:"true"`
	// CostTokens is the number of tokens that one call costs.
	CostTokens int64
	// NotRepeatable lists the path prefixes under which a call must run at most
	// once.
	NotRepeatable []string
}
