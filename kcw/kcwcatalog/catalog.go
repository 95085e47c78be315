// Package kcwcatalog caches a router's working set of contracts. It looks a contract
// up in the ledger when one of the contract's keys is first used and then applies
// the changes that a watch delivers. It never replaces a contract by an older
// revision.
package kcwcatalog

import (
	"container/list"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	defaultMaxContracts  = 4096
	defaultMaxUnknown    = 16384
	defaultUnknownFor    = 2 * time.Second
	defaultLookupTimeout = 2 * time.Second
	// maxLookups bounds the lookups for one request. A lookup is repeated if its
	// answer is older than the changes that the watch delivered during it.
	maxLookups = 8
)

// ledger is the source of contracts, such as a kcwledger.Client.
type ledger interface {
	Lookup(ctx context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error)
	Watch(ctx context.Context, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error
}

// Config configures a Catalog.
type Config struct {
	// Ledger is required.
	Ledger ledger
	// Router and Incarnation identify the watching router to the ledger.
	Router      string
	Incarnation uint64
	// MaxContracts bounds the working set, 4,096 if zero. The least recently used
	// contract is evicted.
	MaxContracts int
	// UnknownFor is how long the failed lookup of a key is cached, 2 s if zero.
	UnknownFor time.Duration
	// LookupTimeout bounds a lookup, 2 s if zero.
	LookupTimeout time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

type keyHash = [sha256.Size]byte

// Catalog is the working set. It is safe for concurrent use.
type Catalog struct {
	cfg     Config
	lookups singleflight.Group

	mu sync.Mutex
	// revision is the newest revision that the watch has delivered.
	revision uint64
	// freshAt is when the watch last delivered an event that was fresh.
	freshAt time.Time
	// customers and keys index the working set by customer and by key.
	customers map[string]*list.Element
	keys      map[keyHash]string
	// unknown holds the keys without a contract and when each is to be looked up
	// again.
	unknown map[keyHash]time.Time
	// lru lists the entries of customers, the most recently used one first. Its values
	// have type *entry.
	lru *list.List
}

// entry is one contract of the working set.
type entry struct {
	contract *kcwcontract.Contract
	revision uint64
	hashes   []keyHash
}

// New returns an empty Catalog for cfg. It panics if cfg has no ledger.
func New(cfg Config) *Catalog {
	if cfg.Ledger == nil {
		panic("kcwcatalog: no ledger")
	}
	if cfg.MaxContracts <= 0 {
		cfg.MaxContracts = defaultMaxContracts
	}
	if cfg.UnknownFor <= 0 {
		cfg.UnknownFor = defaultUnknownFor
	}
	if cfg.LookupTimeout <= 0 {
		cfg.LookupTimeout = defaultLookupTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Catalog{
		cfg: cfg, customers: map[string]*list.Element{}, keys: map[keyHash]string{},
		unknown: map[keyHash]time.Time{}, lru: list.New(),
	}
}

// ByKey returns the contract that lists key. The error is an *Error: of KindUnknown
// if there is no such contract, of KindUnavailable if the lookup failed or ctx ended,
// and of KindMalformed if the contract cannot be decoded.
func (c *Catalog) ByKey(ctx context.Context, key string) (*kcwcontract.Contract, error) {
	hash := keyHash(kcwkeyring.Hash(key))
	contract, err := c.cached(hash)
	if contract != nil || err != nil {
		return contract, err
	}
	found := c.lookups.DoChan(string(hash[:]), func() (any, error) { return c.lookup(hash) })
	select {
	case result := <-found:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*kcwcontract.Contract), nil
	case <-ctx.Done():
		return nil, &Error{Op: "by key", Kind: KindUnavailable, Err: eris.Wrap(ctx.Err(), "lookup")}
	}
}

// cached returns the contract of a key in the working set, the error of a key that
// is cached as unknown, or neither.
func (c *Catalog) cached(hash keyHash) (*kcwcontract.Contract, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if customer, ok := c.keys[hash]; ok {
		element := c.customers[customer]
		c.lru.MoveToFront(element)
		return element.Value.(*entry).contract, nil
	}
	until, ok := c.unknown[hash]
	if !ok {
		return nil, nil
	}
	if c.cfg.Now().Before(until) {
		return nil, unknownKeyError()
	}
	delete(c.unknown, hash)
	return nil, nil
}

// lookup requests the contract of a key from the ledger, until the answer is no
// older than the changes that the watch has delivered.
func (c *Catalog) lookup(hash keyHash) (*kcwcontract.Contract, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.LookupTimeout)
	defer cancel()
	for range maxLookups {
		answer, err := c.cfg.Ledger.Lookup(ctx, &kcwpb.LookupRequest{KeyHash: hash[:], MinRevision: c.Revision()})
		if err != nil {
			return nil, &Error{Op: "lookup", Kind: KindUnavailable, Err: eris.Wrap(err, "ledger")}
		}
		contract, current, err := c.insert(hash, answer)
		if err != nil || current {
			return contract, err
		}
	}
	return nil, &Error{Op: "lookup", Kind: KindUnavailable, Err: eris.New("every lookup was older than the changes delivered meanwhile")}
}

// insert adds the answer to a lookup to the working set. The result current is false
// if the watch has delivered a newer revision meanwhile. That revision may be a change
// of this contract, which applyChange dropped because the contract was not in the
// working set.
func (c *Catalog) insert(hash keyHash, answer *kcwpb.LookupResponse) (contract *kcwcontract.Contract, current bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.GetRevision() < c.revision {
		return nil, false, nil
	}
	message := answer.GetContract()
	if !answer.GetFound() || message.GetDeleted() || !hasKey(message, hash) {
		c.cacheUnknown(hash)
		return nil, true, unknownKeyError()
	}
	if err := c.store(message); err != nil {
		return nil, true, err
	}
	element, ok := c.customers[message.GetCustomer()]
	if !ok || c.keys[hash] != message.GetCustomer() {
		return nil, true, unknownKeyError()
	}
	return element.Value.(*entry).contract, true, nil
}

// hasKey reports whether a contract lists a key.
func hasKey(message *kcwpb.Contract, hash keyHash) bool {
	for _, h := range message.GetKeyHashes() {
		if kcwkeyring.Equal(h, hash[:]) {
			return true
		}
	}
	return false
}

// store adds a contract to the working set or replaces an older revision of it, and
// evicts contracts beyond MaxContracts.
func (c *Catalog) store(message *kcwpb.Contract) error {
	element, ok := c.customers[message.GetCustomer()]
	if ok && element.Value.(*entry).revision >= message.GetRevision() {
		return nil
	}
	contract, err := kcwcontract.FromMessage(message)
	if err != nil {
		return &Error{Op: "put", Kind: KindMalformed, Err: eris.Wrapf(err, "contract of %s", message.GetCustomer())}
	}
	if ok {
		c.remove(element)
	}
	e := &entry{contract: contract, revision: message.GetRevision()}
	for _, raw := range message.GetKeyHashes() {
		if len(raw) != sha256.Size {
			continue
		}
		hash := keyHash(raw)
		e.hashes = append(e.hashes, hash)
		c.keys[hash] = message.GetCustomer()
		delete(c.unknown, hash)
	}
	c.customers[message.GetCustomer()] = c.lru.PushFront(e)
	for len(c.customers) > c.cfg.MaxContracts {
		c.remove(c.lru.Back())
	}
	return nil
}

// remove removes a contract from the working set.
func (c *Catalog) remove(element *list.Element) {
	e := c.lru.Remove(element).(*entry)
	delete(c.customers, e.contract.Customer)
	for _, hash := range e.hashes {
		if c.keys[hash] == e.contract.Customer {
			delete(c.keys, hash)
		}
	}
}

// cacheUnknown caches that a key has no contract.
func (c *Catalog) cacheUnknown(hash keyHash) {
	now := c.cfg.Now()
	if len(c.unknown) >= defaultMaxUnknown {
		clear(c.unknown)
	}
	c.unknown[hash] = now.Add(c.cfg.UnknownFor)
}

func unknownKeyError() error {
	return &Error{Op: "by key", Kind: KindUnknown, Err: eris.New("no contract admits the key")}
}
