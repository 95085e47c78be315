package kcwgateway

import (
	"encoding/hex"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwanswer"
	"kingcupwick.example/kcw/kcwkeyring"
)

const (
	defaultMaxBody          = 4 << 20
	defaultMaxAnswer        = 16 << 20
	defaultMaxEvent         = 1 << 20
	defaultOpenTimeout      = 3 * time.Second
	defaultSettleTimeout    = 10 * time.Second
	defaultFirstByteTimeout = time.Minute
	defaultAnswerTimeout    = 10 * time.Minute
	defaultWriteTimeout     = 30 * time.Second
	defaultReadTimeout      = 30 * time.Second
	defaultPollInterval     = 250 * time.Millisecond
	defaultSilenceTimeout   = 3 * time.Second
	defaultQueueCapacity    = 1000
	defaultCapacity         = 16
	defaultMaxAttempts      = 3
	// pruneInterval is the time between two prunings of the limits.
	pruneInterval = time.Minute
)

// withDefaults returns cfg with what it leaves open filled in.
func (cfg Config) withDefaults() Config {
	if cfg.Answers == nil {
		cfg.Answers = kcwanswer.New(kcwanswer.Config{Now: cfg.Now})
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	setSize(&cfg.MaxBodyBytes, defaultMaxBody)
	setSize(&cfg.MaxAnswerBytes, defaultMaxAnswer)
	setCount(&cfg.MaxEventBytes, defaultMaxEvent)
	setCount(&cfg.Routers, 1)
	setCount(&cfg.QueueCapacity, defaultQueueCapacity)
	setCount(&cfg.UpstreamCapacity, defaultCapacity)
	setCount(&cfg.MaxAttempts, defaultMaxAttempts)
	setDuration(&cfg.OpenTimeout, defaultOpenTimeout)
	setDuration(&cfg.SettleTimeout, defaultSettleTimeout)
	setDuration(&cfg.FirstByteTimeout, defaultFirstByteTimeout)
	setDuration(&cfg.AnswerTimeout, defaultAnswerTimeout)
	setDuration(&cfg.WriteTimeout, defaultWriteTimeout)
	setDuration(&cfg.ReadTimeout, defaultReadTimeout)
	setDuration(&cfg.PollInterval, defaultPollInterval)
	setDuration(&cfg.SilenceTimeout, defaultSilenceTimeout)
	return cfg
}

func setSize(field *int64, standard int64) {
	if *field <= 0 {
		*field = standard
	}
}

func setCount(field *int, standard int) {
	if *field <= 0 {
		*field = standard
	}
}

func setDuration(field *time.Duration, standard time.Duration) {
	if *field <= 0 {
		*field = standard
	}
}

// hexHash returns the SHA-256 of a key as contracts write it.
func hexHash(key string) string { return hex.EncodeToString(kcwkeyring.Hash(key)) }

// forwarded returns the headers of the caller for the upstream, which puts its
// own key in place of the caller's.
func forwarded(header http.Header, customer, identity string) http.Header {
	out := header.Clone()
	for _, name := range []string{"Cookie", "Content-Length", "Accept-Encoding", "Expect", NoRepeatHeader} {
		out.Del(name)
	}
	out.Set(RequestHeader, identity)
	out.Set(customerHeader, customer)
	return out
}
