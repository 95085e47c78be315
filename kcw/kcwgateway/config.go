package kcwgateway

import (
	"encoding/hex"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwanswer"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwmemory"
)

const (
	defaultMemory           = 1 << 30
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
	// pruneInterval is the time between two prunings of Config.Limits.
	pruneInterval = time.Minute
)

// withDefaults returns cfg with the defaults in place of zero fields.
func (cfg Config) withDefaults() Config {
	if cfg.Answers == nil {
		cfg.Answers = kcwanswer.New(kcwanswer.Config{Now: cfg.Now})
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Memory == nil {
		cfg.Memory = kcwmemory.New(defaultMemory)
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

func setSize(field *int64, fallback int64) {
	if *field <= 0 {
		*field = fallback
	}
}

func setCount(field *int, fallback int) {
	if *field <= 0 {
		*field = fallback
	}
}

func setDuration(field *time.Duration, fallback time.Duration) {
	if *field <= 0 {
		*field = fallback
	}
}

// hexHash returns the SHA-256 of an API key in hexadecimal, as contracts contain it.
func hexHash(key string) string { return hex.EncodeToString(kcwkeyring.Hash(key)) }

// upstreamHeader returns the caller's headers for the upstream. It leaves the
// Authorization header to kcwupstream, which replaces it by the upstream's key.
func upstreamHeader(header http.Header, customer, identity string) http.Header {
	out := header.Clone()
	for _, name := range []string{"Cookie", "Content-Length", "Accept-Encoding", "Expect", NoRepeatHeader} {
		out.Del(name)
	}
	out.Set(RequestHeader, identity)
	out.Set(customerHeader, customer)
	return out
}
