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

// delivery is the answer on its way to the first caller. It goes on, without
// writing, when that caller is gone.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	cfg     Config
	// began says that a byte of an upstream's answer was given to the caller.
	began       bool
	gone        bool
	firstByteAt time.Time
	status      int
	contentType string
	// kept is the body so far, nil once it grew past what is kept.
	kept      []byte
	keepable  bool
	digest    hash.Hash
	identity  string
	isEvents  bool
	lastWrite time.Time
}

func newDelivery(w http.ResponseWriter, req *request, cfg Config) *delivery {
	return &delivery{
		w: w, control: http.NewResponseController(w), cfg: cfg, keepable: true,
		digest: sha256.New(), identity: req.identity, isEvents: req.streams(),
	}
}

// begin sets status and headers. Length is that of the body, zero
// if it is open or empty.
func (d *delivery) begin(status int, header http.Header, length int) {
	d.began = true
	d.firstByteAt = d.cfg.Now()
	d.status = status
	d.contentType = header.Get("Content-Type")
	kcwupstream.CopyHeader(d.w.Header(), header)
	d.w.Header().Set(RequestHeader, d.identity)
	if length > 0 {
		d.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	d.deadline()
	d.w.WriteHeader(status)
}

// write passes p on at once.
func (d *delivery) write(p []byte) {
	d.keep(p)
	d.send(p)
}

// keep adds p to the body that a retry gets.
func (d *delivery) keep(p []byte) {
	_, _ = d.digest.Write(p)
	if !d.keepable {
		return
	}
	if int64(len(d.kept)+len(p)) > d.cfg.MaxAnswerBytes {
		d.kept, d.keepable = nil, false
		return
	}
	d.kept = append(d.kept, p...)
}

// send writes p to the caller, if it is still there.
func (d *delivery) send(p []byte) {
	if d.gone {
		return
	}
	d.deadline()
	if _, err := d.w.Write(p); err != nil {
		d.gone = true
		return
	}
	if err := d.control.Flush(); err != nil {
		d.gone = true
	}
}

// deadline renews the time until which a write may block.
func (d *delivery) deadline() {
	now := d.cfg.Now()
	if now.Sub(d.lastWrite) < time.Second {
		return
	}
	d.lastWrite = now
	// A writer without deadlines is one of a test.
	_ = d.control.SetWriteDeadline(now.Add(d.cfg.WriteTimeout))
}

// answer returns the whole answer once the final bytes of r were kept, or nil
// if it is too large to be kept.
func (d *delivery) answer(r result) *kcwpb.AnswerPart {
	if !d.keepable {
		return nil
	}
	status, contentType := d.status, d.contentType
	if !d.began {
		status, contentType = r.status, r.header.Get("Content-Type")
	}
	return &kcwpb.AnswerPart{Status: int32(status), ContentType: contentType, Body: d.kept, Last: true}
}

// finish writes the final bytes of a whole answer, which were kept before.
func (d *delivery) finish(r result) {
	if !d.began {
		d.begin(r.status, r.header, len(r.final))
	}
	if len(r.final) > 0 {
		d.send(r.final)
	}
}

// fail tells the caller of a stream why it breaks off.
func (d *delivery) fail(bad *refusal) {
	if !d.isEvents {
		return
	}
	event := append([]byte("data: "), bad.body(d.identity)...)
	d.send(append(event, '\n', '\n'))
}

// mayHaveBody says whether an answer of this status can have a body.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
