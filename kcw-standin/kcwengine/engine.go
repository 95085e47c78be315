// Package kcwengine is a simulated model engine for tests and demonstrations. It
// implements the chat-completions protocol. Its answers are a pure function of
// the prompt, so that tests can verify every byte of them.
package kcwengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// DrainingHeader is set on responses that refuse a request because the engine
// is draining.
const DrainingHeader = "Kcw-Draining"

// MaxBodySize is the largest accepted size of a request body in bytes.
const MaxBodySize = 16 << 20

// Config holds the settings of an Engine.
type Config struct {
	// Models are the names of the models served.
	Models []string
	// Capacity is the maximum number of requests that run concurrently.
	Capacity int
	// FirstToken is the delay before the first token, BetweenTokens the delay
	// before each later one.
	FirstToken, BetweenTokens time.Duration
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration
	Record  *kcwrecord.Record
	Faults  *kcwfault.Injector
}

// Engine is the HTTP handler of a simulated model engine.
type Engine struct {
	cfg   Config
	mux   *http.ServeMux
	batch *batch
}

// New returns an Engine. It panics if Capacity is not positive.
func New(cfg Config) *Engine {
	if cfg.Capacity <= 0 {
		panic("kcwengine: the capacity is not positive")
	}
	e := &Engine{cfg: cfg, mux: http.NewServeMux(), batch: newBatch(cfg.Capacity, cfg.LoadLag, time.Now)}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/models", e.models)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.Handle("GET /record", cfg.Record)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, name := range e.cfg.Models {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

// load reports the load as of LoadLag ago. Draining is reported without the lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.load()
	writeJSON(w, http.StatusOK, struct {
		Running, Waiting, Capacity int
		Draining                   bool
		Models                     []string
		At                         time.Time
	}{running, waiting, e.cfg.Capacity, e.cfg.Faults.Current().Drain, e.cfg.Models, time.Now().Add(-e.cfg.LoadLag)})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodySize+1))
	if err != nil {
		// The caller disconnected before the request body was complete.
		return
	}
	sequence, err := e.cfg.Record.Start(r, body, time.Now())
	if err != nil {
		refuse(w, http.StatusInternalServerError, "record_failed", err.Error())
		return
	}
	g := &generation{engine: e, writer: w, request: r, entry: kcwrecord.Entry{Outcome: kcwrecord.Broken}}
	// Deferred, so that the entry is closed even if a fault aborts the
	// connection by a panic.
	defer func() {
		_ = e.cfg.Record.Close(sequence, time.Now(), func(entry *kcwrecord.Entry) { g.fill(entry) })
	}()
	g.run(body)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, failure{Error: failureDetail{Message: message, Type: "engine_error", Code: code}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("kcwengine: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(body)
}
