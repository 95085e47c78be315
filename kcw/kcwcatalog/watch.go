package kcwcatalog

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// Run keeps the working set up to date by a watch until ctx ends, and returns
// the error with which the watch ended.
func (c *Catalog) Run(ctx context.Context) error {
	req := &kcwpb.WatchRequest{Router: c.cfg.Router, Incarnation: c.cfg.Incarnation}
	return c.cfg.Ledger.Watch(ctx, req, c.Revision, c.apply)
}

// Revision returns the newest revision in force here.
func (c *Catalog) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Size returns the number of contracts in the working set, and when the watch
// last heard from a replica that was in touch with a quorum.
func (c *Catalog) Size() (contracts int, freshAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.customers), c.freshAt
}

// apply brings one event of the watch into force. An event that is older than
// what is in force changes nothing.
func (c *Catalog) apply(event *kcwpb.WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.GetRevision() < c.revision {
		return
	}
	for _, message := range event.GetContracts() {
		c.change(message)
	}
	c.revision = event.GetRevision()
	if event.GetFresh() {
		c.freshAt = c.cfg.Now()
	}
}

// change brings one changed contract into force, if it is in the working set.
func (c *Catalog) change(message *kcwpb.Contract) {
	for _, raw := range message.GetKeyHashes() {
		if len(raw) == len(keyHash{}) {
			delete(c.unknown, keyHash(raw))
		}
	}
	element, ok := c.customers[message.GetCustomer()]
	if !ok {
		return
	}
	if message.GetDeleted() && element.Value.(*entry).revision < message.GetRevision() {
		c.remove(element)
		return
	}
	if err := c.put(message); err != nil {
		// The old contract must not stay in force: the next use looks it up.
		c.remove(element)
		klog.ErrorS(err, "contract not in force", "Customer", message.GetCustomer(), "Revision", message.GetRevision())
	}
}
