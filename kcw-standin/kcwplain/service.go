// Package kcwplain is a plain service for tests and demonstrations: it books
// visits and issues receipts. Each POST makes a new one, so that a call that
// was repeated shows.
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

// DrainingHeader marks a refusal of a service that is leaving.
const DrainingHeader = "Kcw-Draining"

// MaxBodySize is the size in bytes of the longest request body taken.
const MaxBodySize = 1 << 20

// Config holds the settings of a Service.
type Config struct {
	// Work passes before an item is made.
	Work     time.Duration
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

// Service is the HTTP handler of the plain service. It may be used by many
// goroutines at once.
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
		s.mux.HandleFunc("POST /"+kind, s.recorded(func(r *http.Request, body []byte) (int, any) { return s.create(r, kind, body) }))
		s.mux.HandleFunc("GET /"+kind, s.recorded(func(*http.Request, []byte) (int, any) { return http.StatusOK, s.list(kind) }))
		s.mux.HandleFunc("GET /"+kind+"/{id}", s.recorded(func(r *http.Request, _ []byte) (int, any) { return s.get(kind, r.PathValue("id")) }))
	}
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.Handle("GET /record", cfg.Record)
	return s
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// recorded wraps a call with its entry in the record and the ordered faults.
func (s *Service) recorded(call func(*http.Request, []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodySize))
		if err != nil {
			// The caller went away, or its body is too large.
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		sequence, err := s.cfg.Record.Start(r, body, time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		result := kcwrecord.Entry{Outcome: kcwrecord.Broken}
		// Deferred, so that a connection cut by a panic is recorded too.
		defer func() {
			_ = s.cfg.Record.Close(sequence, time.Now(), func(entry *kcwrecord.Entry) {
				entry.Outcome, entry.Status, entry.AnswerDigest = result.Outcome, result.Status, result.AnswerDigest
			})
		}()
		s.answer(w, r, body, call, &result)
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte, call func(*http.Request, []byte) (int, any), result *kcwrecord.Entry) {
	faults := s.cfg.Faults.Take(r.URL.Path)
	if status := refusal(faults); status > 0 {
		result.Outcome, result.Status = kcwrecord.Refused, status
		w.Header().Set("Retry-After", "1")
		if faults.Drain {
			w.Header().Set(DrainingHeader, "true")
		}
		http.Error(w, "ordered to refuse", status)
		return
	}
	s.count(1)
	defer s.count(-1)
	time.Sleep(kcwfault.Duration(faults.Delay) + s.cfg.Work)
	status, value := call(r, body)
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
	if _, err := w.Write(answer); err == nil {
		result.Outcome = kcwrecord.Finished
	}
}

// refusal returns the status to refuse a request with, or zero.
func refusal(faults kcwfault.Config) int {
	if faults.Drain {
		return http.StatusServiceUnavailable
	}
	return faults.Status
}

func (s *Service) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *Service) create(_ *http.Request, kind string, body []byte) (int, any) {
	if !json.Valid(body) {
		return http.StatusBadRequest, map[string]string{"Error": "the body is not JSON"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.items[kind]) + 1
	made := item{ID: fmt.Sprintf("%s-%d", kind[:1], number), Number: number, Digest: kcwrecord.Digest(body), Body: body}
	s.items[kind] = append(s.items[kind], made)
	return http.StatusCreated, made
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
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(struct {
		Running, Waiting, Capacity int
		Draining                   bool
	}{running, 0, s.cfg.Capacity, s.cfg.Faults.Current().Drain})
}
