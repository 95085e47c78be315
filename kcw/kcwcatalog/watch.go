package kcwcatalog

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// Run watches the ledger and applies changes to the working set until ctx ends. It
// returns the error with which the watch ended.
func (c *Catalog) Run(ctx context.Context) error {
	req := &kcwpb.WatchRequest{Router: c.cfg.Router, Incarnation: c.cfg.Incarnation}
	return c.cfg.Ledger.Watch(ctx, req, c.Revision, c.apply)
}

// Revision returns the newest revision that the watch has delivered.
func (c *Catalog) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Size returns the number of contracts in the working set, and when the watch last
// delivered an event from a replica that had contact with a quorum.
func (c *Catalog) Size() (contracts int, freshAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.customers), c.freshAt
}

// apply applies one event of the watch, unless its revision is older than that of an
// earlier event.
func (c *Catalog) apply(event *kcwpb.WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.GetRevision() < c.revision {
		return
	}
	for _, message := range event.GetContracts() {
		c.applyChange(message)
	}
	c.revision = event.GetRevision()
	if event.GetFresh() {
		c.freshAt = c.cfg.Now()
	}
}

// applyChange applies a changed contract if it is in the working set.
func (c *Catalog) applyChange(message *kcwpb.Contract) {
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
	if err := c.store(message); err != nil {
		// The outdated contract must not be used: the next request looks it up.
		c.remove(element)
		klog.ErrorS(err, "contract can't be applied", "Customer", message.GetCustomer(), "Revision", message.GetRevision())
	}
}
