// Package kcwcontract holds the contract of a customer: the one object from
// which every limit, priority, permission and allowance follows. It has the
// file format, its complete validation and its canonical form.
package kcwcontract

import "time"

// Contract is one customer's contract. Lists are ordered by name in the
// canonical form.
type Contract struct {
	// Customer is the name of the customer.
	Customer string `required:"true"`
	// PrepaidTokens is the prepaid budget.
	PrepaidTokens int64 `required:"true"`
	// Priority orders customers in queues, from 0 to 9; a larger one goes first.
	Priority int64
	// Weight is the customer's share among equal priorities, 1 if it is left out.
	Weight int64
	// Limits bounds what the customer may ask for.
	Limits Limits `required:"true"`
	// AnswerRetention is how long a finished answer is kept for a retry. Zero
	// leaves it to the settings of the router.
	AnswerRetention time.Duration
	Keys            []Key `required:"true"`
	Teams           []Team
	Models          []Model
	Services        []Service

	// Revision is the revision under which the ledger holds the contract, zero
	// for one that was read from a file.
	Revision uint64 `json:"-"`
}

// Limits bounds the requests of one customer. Zero stands for no limit in
// OpenRequests, RequestsPerMinute and TokensPerMinute.
type Limits struct {
	OpenRequests            int64 `required:"true"`
	RequestsPerMinute       int64 `required:"true"`
	TokensPerMinute         int64 `required:"true"`
	MaxPromptTokens         int64 `required:"true"`
	MaxCompletionTokens     int64 `required:"true"`
	DefaultCompletionTokens int64 `required:"true"`
	// QueueDeadline is how long a request may wait for an upstream.
	QueueDeadline time.Duration `required:"true"`
}

// Key is one key that the contract admits. Hash is the SHA-256 of the key in
// hexadecimal; the key itself is never part of a contract.
type Key struct {
	Name string `required:"true"`
	Hash string `required:"true"`
	// Team is the team whose share the key's requests draw on, empty for none.
	Team string
}

// Team is one team of the customer. Weight and Priority count among the
// customer's teams.
type Team struct {
	Name string `required:"true"`
	// Weight is the team's share among equal priorities, 1 if it is left out.
	Weight   int64
	Priority int64
}

// Model is one model that the contract admits. Upstream is the service that
// serves it.
type Model struct {
	Name     string `required:"true"`
	Upstream string `required:"true"`
}

// Service is one plain service that the contract admits, by path.
type Service struct {
	// Name is the upstream service.
	Name string `required:"true"`
	// PathPrefix is the path under which the service is called.
	PathPrefix string `required:"true"`
	// Methods lists the HTTP methods that the contract admits.
	Methods []string `required:"true"`
	// CostTokens is what one call takes from the budget.
	CostTokens int64
	// NotRepeatable lists the path prefixes under which a call runs at most
	// once.
	NotRepeatable []string
}
