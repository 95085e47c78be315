// Package kcwplain is a simulated plain HTTP service for tests and
// demonstrations. It stores bookings and receipts. Every POST creates a new
// item, so that a repeated call is visible as a second item.
package kcwplain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// DrainingHeader is set on responses that refuse a request because the service
// is draining.
const DrainingHeader = "Kcw-Draining"

// MaxBodySize is the largest accepted size of a request body in bytes.
const MaxBodySize = 1 << 20

// Config holds the settings of a Service.
type Config struct {
	// Work is the simulated processing time of a request.
	Work time.Duration
	// Capacity is the capacity in load reports. The service enforces no limit.
	Capacity int
	Record   *kcwrecord.Record
	Faults   *kcwfault.Injector
}

// item is one booking or receipt.
type item struct {
	ID     string `json:"Id"`
	Number int
	Digest string
	Body   json.RawMessage `json:",omitempty"`
}

// Service is the HTTP handler of the plain service. It is safe for
// concurrent use.
type Service struct {
	cfg     Config
	mux     *http.ServeMux
	mu      sync.Mutex
	items   map[string][]item
	running int
}

// New returns a Service without items.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), items: map[string][]item{}}
	for _, kind := range []string{"bookings", "receipts"} {
		s.mux.HandleFunc("POST /"+kind, s.withRecord(func(r *http.Request, body []byte) (int, any) { return s.create(r, kind, body) }))
		s.mux.HandleFunc("GET /"+kind, s.withRecord(func(*http.Request, []byte) (int, any) { return http.StatusOK, s.list(kind) }))
		s.mux.HandleFunc("GET /"+kind+"/{id}", s.withRecord(func(r *http.Request, _ []byte) (int, any) { return s.get(kind, r.PathValue("id")) }))
	}
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.Handle("GET /record", cfg.Record)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// withRecord returns a handler that records each request and applies the
// configured faults to it.
func (s *Service) withRecord(handle func(*http.Request, []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodySize))
		if err != nil {
			// The caller disconnected, or the body is too large.
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		sequence, err := s.cfg.Record.Start(r, body, time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		result := kcwrecord.Entry{Outcome: kcwrecord.Broken}
		// Deferred, so that the entry is closed even if a fault aborts the
		// connection by a panic.
		defer func() {
			_ = s.cfg.Record.Close(sequence, time.Now(), func(entry *kcwrecord.Entry) {
				entry.Outcome, entry.Status, entry.AnswerDigest = result.Outcome, result.Status, result.AnswerDigest
			})
		}()
		s.respond(w, r, body, handle, &result)
	}
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, body []byte, handle func(*http.Request, []byte) (int, any), result *kcwrecord.Entry) {
	faults := s.cfg.Faults.Take(r.URL.Path)
	if status := refusalStatus(faults); status > 0 {
		result.Outcome, result.Status = kcwrecord.Refused, status
		w.Header().Set("Retry-After", "1")
		if faults.Drain {
			w.Header().Set(DrainingHeader, "true")
		}
		http.Error(w, "ordered to refuse", status)
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	time.Sleep(kcwfault.Duration(faults.Delay) + s.cfg.Work)
	status, value := handle(r, body)
	time.Sleep(kcwfault.Duration(faults.Late))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	answer, err := json.Marshal(value)
	if err != nil {
		panic("kcwplain: " + err.Error())
	}
	result.Status, result.AnswerDigest = status, kcwrecord.Digest(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	if faults.ShortBody {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	result.Outcome = kcwrecord.Cancelled
	if writeWithPause(w, answer, faults) == nil {
		result.Outcome = kcwrecord.Finished
	}
}

// writeWithPause writes the body of an answer with the pause that is configured.
func writeWithPause(w http.ResponseWriter, answer []byte, faults kcwfault.Config) error {
	before, after := faults.SplitAtPause(answer)
	if len(before) > 0 {
		if _, err := w.Write(before); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	time.Sleep(kcwfault.Duration(faults.Pause))
	_, err := w.Write(after)
	return err
}

// refusalStatus returns the status with which the faults refuse a request, or
// zero if they don't.
func refusalStatus(faults kcwfault.Config) int {
	if faults.Drain {
		return http.StatusServiceUnavailable
	}
	return faults.Status
}

func (s *Service) addRunning(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
}

func (s *Service) create(_ *http.Request, kind string, body []byte) (int, any) {
	if !json.Valid(body) {
		return http.StatusBadRequest, map[string]string{"Error": "the body is not JSON"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.items[kind]) + 1
	created := item{ID: fmt.Sprintf("%s-%d", kind[:1], number), Number: number, Digest: kcwrecord.Digest(body), Body: body}
	s.items[kind] = append(s.items[kind], created)
	return http.StatusCreated, created
}

func (s *Service) list(kind string) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]item{}, s.items[kind]...)
}

func (s *Service) get(kind, id string) (int, any) {
	for _, found := range s.list(kind) {
		if found.ID == id {
			return http.StatusOK, found
		}
	}
	return http.StatusNotFound, map[string]string{"Error": "not found"}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(struct {
		Running, Waiting, Capacity int
		Draining                   bool
	}{running, 0, s.cfg.Capacity, s.cfg.Faults.Current().Drain})
}
