// Package kcwcatalog holds the contracts in force at a router: its working
// set. A contract is looked up when one of its keys is first used, and a watch
// carries every later change. No revision is ever lowered.
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
	// maxLookups bounds how often a lookup is repeated because changes
	// overtook it.
	maxLookups = 8
)

// ledger is where contracts come from, such as a kcwledger.Client.
type ledger interface {
	Lookup(ctx context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error)
	Watch(ctx context.Context, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error
}

// Config sets up a Catalog.
type Config struct {
	// Ledger is required.
	Ledger ledger
	// Router and Incarnation name the watcher to the ledger.
	Router      string
	Incarnation uint64
	// MaxContracts bounds the working set, 4,096 if zero; the contract unused
	// for longest makes room.
	MaxContracts int
	// UnknownFor is how long a key stays unknown without another lookup, 2 s
	// if zero.
	UnknownFor time.Duration
	// LookupTimeout bounds a lookup, 2 s if zero.
	LookupTimeout time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

type keyHash = [sha256.Size]byte

// Catalog holds the working set. It is safe for concurrent use.
type Catalog struct {
	cfg     Config
	lookups singleflight.Group

	mu        sync.Mutex
	revision  uint64
	freshAt   time.Time
	customers map[string]*list.Element
	keys      map[keyHash]string
	unknown   map[keyHash]time.Time
	// used holds the *entry of customers, the one used last at the front.
	used *list.List
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
		unknown: map[keyHash]time.Time{}, used: list.New(),
	}
}

// ByKey returns the contract that admits key. The error is an *Error, of
// KindUnknown if there is none.
func (c *Catalog) ByKey(ctx context.Context, key string) (*kcwcontract.Contract, error) {
	hash := keyHash(kcwkeyring.Hash(key))
	contract, err := c.known(hash)
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

// known returns the contract of a key in the working set, or the error of a
// key that was unknown a moment ago, or neither.
func (c *Catalog) known(hash keyHash) (*kcwcontract.Contract, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if customer, ok := c.keys[hash]; ok {
		element := c.customers[customer]
		c.used.MoveToFront(element)
		return element.Value.(*entry).contract, nil
	}
	until, ok := c.unknown[hash]
	if !ok {
		return nil, nil
	}
	if c.cfg.Now().Before(until) {
		return nil, unknownKey()
	}
	delete(c.unknown, hash)
	return nil, nil
}

// lookup asks the ledger for the contract of a key, until the answer is no
// older than what the watch brought.
func (c *Catalog) lookup(hash keyHash) (*kcwcontract.Contract, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.LookupTimeout)
	defer cancel()
	for range maxLookups {
		found, err := c.cfg.Ledger.Lookup(ctx, &kcwpb.LookupRequest{KeyHash: hash[:], MinRevision: c.Revision()})
		if err != nil {
			return nil, &Error{Op: "lookup", Kind: KindUnavailable, Err: eris.Wrap(err, "ledger")}
		}
		contract, current, err := c.insert(hash, found)
		if err != nil || current {
			return contract, err
		}
	}
	return nil, &Error{Op: "lookup", Kind: KindUnavailable, Err: eris.New("changes overtook every lookup")}
}

// insert takes the answer to a lookup into the working set. Current is false
// if the watch has brought a newer revision meanwhile: a change that was not
// yet of interest here may have passed.
func (c *Catalog) insert(hash keyHash, found *kcwpb.LookupResponse) (contract *kcwcontract.Contract, current bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found.GetRevision() < c.revision {
		return nil, false, nil
	}
	message := found.GetContract()
	if !found.GetFound() || message.GetDeleted() || !holds(message, hash) {
		c.remember(hash)
		return nil, true, unknownKey()
	}
	if err := c.put(message); err != nil {
		return nil, true, err
	}
	element, ok := c.customers[message.GetCustomer()]
	if !ok || c.keys[hash] != message.GetCustomer() {
		return nil, true, unknownKey()
	}
	return element.Value.(*entry).contract, true, nil
}

// holds says whether a contract lists a key.
func holds(message *kcwpb.Contract, hash keyHash) bool {
	for _, h := range message.GetKeyHashes() {
		if kcwkeyring.Equal(h, hash[:]) {
			return true
		}
	}
	return false
}

// put replaces a contract of the working set, unless a newer one is there, and
// makes room for a new one.
func (c *Catalog) put(message *kcwpb.Contract) error {
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
	c.customers[message.GetCustomer()] = c.used.PushFront(e)
	for len(c.customers) > c.cfg.MaxContracts {
		c.remove(c.used.Back())
	}
	return nil
}

// remove takes a contract out of the working set.
func (c *Catalog) remove(element *list.Element) {
	e := c.used.Remove(element).(*entry)
	delete(c.customers, e.contract.Customer)
	for _, hash := range e.hashes {
		if c.keys[hash] == e.contract.Customer {
			delete(c.keys, hash)
		}
	}
}

// remember notes that a key is unknown.
func (c *Catalog) remember(hash keyHash) {
	now := c.cfg.Now()
	if len(c.unknown) >= defaultMaxUnknown {
		clear(c.unknown)
	}
	c.unknown[hash] = now.Add(c.cfg.UnknownFor)
}

func unknownKey() error {
	return &Error{Op: "by key", Kind: KindUnknown, Err: eris.New("no contract admits the key")}
}
