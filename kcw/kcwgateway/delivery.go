package kcwgateway

import (
	"crypto/sha256"
	"hash"
	"net/http"
	"strconv"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwupstream"
)

// delivery writes an answer to the first caller and stores a copy for retries. If
// the caller disconnects, it only stores.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	cfg     Config
	// started is set when the status and headers of an upstream's answer have been
	// written to the caller.
	started     bool
	callerGone  bool
	firstByteAt time.Time
	status      int
	contentType string
	// stored is the body so far. It is nil, and storable false, once the body has
	// exceeded MaxAnswerBytes.
	stored        []byte
	storable      bool
	digest        hash.Hash
	memory        *holding
	deadline      *writeDeadline
	identity      string
	isEventStream bool
	lastWrite     time.Time
}

func newDelivery(w http.ResponseWriter, req *request, cfg Config) *delivery {
	return &delivery{
		w: w, control: http.NewResponseController(w), cfg: cfg, storable: true,
		digest: sha256.New(), memory: req.memory, deadline: &writeDeadline{control: http.NewResponseController(w)}, identity: req.identity, isEventStream: req.wantsStream(),
	}
}

// writeHeader writes the status and the headers. Length is that of the body, or zero
// if it is empty or not yet determined.
func (d *delivery) writeHeader(status int, header http.Header, length int) {
	d.started = true
	d.firstByteAt = d.cfg.Now()
	d.status = status
	d.contentType = header.Get("Content-Type")
	kcwupstream.CopyHeader(d.w.Header(), header)
	d.w.Header().Set(RequestHeader, d.identity)
	if length > 0 {
		d.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	d.extendDeadline()
	d.w.WriteHeader(status)
}

// write stores p and writes it to the caller.
func (d *delivery) write(p []byte) {
	d.store(p)
	d.send(p)
}

// store adds p to the digest and to the stored body.
func (d *delivery) store(p []byte) {
	_, _ = d.digest.Write(p)
	if !d.storable {
		return
	}
	if int64(len(d.stored)+len(p)) > d.cfg.MaxAnswerBytes {
		d.stored, d.storable = nil, false
		return
	}
	before := cap(d.stored)
	d.stored = append(d.stored, p...)
	d.memory.acquire(int64(cap(d.stored) - before))
}

// storeWithheld is store for the last part of an answer, which is not changed any more.
func (d *delivery) storeWithheld(p []byte) {
	if len(d.stored) > 0 || int64(len(p)) > d.cfg.MaxAnswerBytes {
		d.store(p)
		return
	}
	_, _ = d.digest.Write(p)
	d.stored = p[:len(p):len(p)]
}

// send writes and flushes p to the caller, unless the caller has disconnected.
func (d *delivery) send(p []byte) {
	if d.callerGone {
		return
	}
	d.extendDeadline()
	if _, err := d.w.Write(p); err != nil {
		d.callerGone = true
		return
	}
	if err := d.control.Flush(); err != nil {
		d.callerGone = true
	}
}

// extendDeadline renews the write deadline, at most once a second.
func (d *delivery) extendDeadline() {
	now := d.cfg.Now()
	if now.Sub(d.lastWrite) < time.Second {
		return
	}
	d.lastWrite = now
	d.deadline.set(now.Add(d.cfg.WriteTimeout))
}

// storedAnswer returns the complete answer, or nil if it is too large to be stored.
// The withheld bytes of res must have been stored before.
func (d *delivery) storedAnswer(r attemptResult) *kcwpb.AnswerPart {
	if !d.storable {
		return nil
	}
	status, contentType := d.status, d.contentType
	if !d.started {
		status, contentType = r.status, r.header.Get("Content-Type")
	}
	return &kcwpb.AnswerPart{Status: int32(status), ContentType: contentType, Body: d.stored, Last: true}
}

// finish sends the withheld bytes of a complete answer. They have been stored
// before.
func (d *delivery) finish(r attemptResult) {
	if !d.started {
		d.writeHeader(r.status, r.header, len(r.withheld))
	}
	if len(r.withheld) > 0 {
		d.send(r.withheld)
	}
}

// sendError sends the reason for breaking off a stream to the caller, as its last
// event.
func (d *delivery) sendError(refused *refusal) {
	if !d.isEventStream {
		return
	}
	event := append([]byte("data: "), refused.body(d.identity)...)
	d.send(append(event, '\n', '\n'))
}

// mayHaveBody reports whether a response with this status can have a body.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
