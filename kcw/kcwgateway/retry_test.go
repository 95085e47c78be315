package kcwgateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
)

// testSeed returns the seed of the random tests. KCW_SEED sets another one.
func testSeed(t *testing.T) uint64 {
	seed := uint64(20261204)
	if text := os.Getenv("KCW_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	t.Logf("KCW_SEED=%d", seed)
	return seed
}

// TestRetryAtOnce checks that callers that send the same request concurrently get
// the same answer from one run.
func TestRetryAtOnce(t *testing.T) {
	l := newLedger(t, "r1")
	const callers = 12
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	e := &engine{words: []string{"ab", "cd"}, during: func(http.ResponseWriter, int) bool {
		<-release
		return true
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	t.Cleanup(finish)
	replies := make(chan reply, callers)
	for range callers {
		go func() { replies <- f.do(call{body: streamBody, identity: "i"}) }()
	}
	eventually(t, "callers attached", func() bool {
		all := f.gateway.flights.list()
		return len(all) == 1 && all[0].Callers == callers
	})
	checkRefusal(t, f.do(call{body: chatBody, identity: "i"}), codeIdentityReused, notRun)
	finish()
	first := <-replies
	if words, done := contentOf(first.body); words != "abcd" || !done {
		t.Errorf("%+v", first)
	}
	for range callers - 1 {
		if r := <-replies; r.body != first.body || r.err != nil {
			t.Errorf("another answer: %+v", r)
		}
	}
	if e.runs.Load() != 1 {
		t.Errorf("ran %d times", e.runs.Load())
	}
	l.checkBudget(t, "pew", 5, 0)
}

// TestRetryLate checks that a stored answer is replayed only to the same request of
// the same customer.
func TestRetryLate(t *testing.T) {
	l := newLedger(t, "r1")
	e := &engine{words: []string{"ab"}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	first := f.do(call{body: chatBody, identity: "i"})
	for _, test := range []struct {
		name     string
		call     call
		replayed bool
		code     code
		runs     int64
	}{
		{"same", call{body: chatBody, identity: "i"}, true, "", 1},
		{"other customer", call{body: chatBody, identity: "i", key: keyOf("kviitung")}, false, "", 2},
		{"other body", call{body: streamBody, identity: "i"}, false, codeIdentityReused, 2},
		{"other identity", call{body: chatBody, identity: "j"}, false, "", 3},
	} {
		r := f.do(test.call)
		if test.code != "" {
			checkRefusal(t, r, test.code, notRun)
		} else if r.body != first.body || (r.header.Get(ReplayedHeader) != "") != test.replayed {
			t.Errorf("%s: %+v", test.name, r)
		}
		if e.runs.Load() != test.runs {
			t.Errorf("%s: ran %d times, want %d", test.name, e.runs.Load(), test.runs)
		}
	}
}

// TestRetryElsewhereFetches checks that a retry through another router gets the
// answer from the first router, whether the request is running or finished, and only
// with the key of the processes.
func TestRetryElsewhereFetches(t *testing.T) {
	const processKey = "key-of-the-processes"
	for _, test := range []struct {
		name, key string
		running   bool
		fetched   bool
		// tampered is set if the answer differs from the one that was billed.
		tampered bool
	}{
		{"finished", processKey, false, true, false},
		{"running", processKey, true, true, false},
		{"wrong key", "another-key-for-processes", false, false, false},
		{"another answer", processKey, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1", "r2")
			release := make(chan struct{})
			if !test.running {
				close(release)
			}
			e := &engine{words: []string{"ab", "cd"}, before: func(http.ResponseWriter, *http.Request) bool {
				<-release
				return false
			}}
			upstreams := map[string][]http.Handler{"engine": {e}}
			ring, err := kcwkeyring.New(kcwkeyring.Config{Keys: map[string]string{"processes": processKey}})
			if err != nil {
				t.Fatal(err)
			}
			f1 := startGateway(t, l, "r1", upstreams, func(c *Config) { c.Peers = ring })
			f2 := startGateway(t, l, "r2", upstreams, func(c *Config) { c.PeerKey = test.key })
			mux := http.NewServeMux()
			mux.Handle(f1.gateway.Answers())
			internal := httptest.NewServer(mux)
			t.Cleanup(internal.Close)
			l.setHooks(func(claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
				result := l.apply(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}})
				if result.GetCode() != kcwpb.Code_CODE_OK {
					result.OwnerAddress = internal.Listener.Addr().String()
				}
				if test.tampered && result.GetCode() == kcwpb.Code_CODE_BILLED {
					result.Claim.AnswerDigest = make([]byte, 32)
				}
				return result, nil
			}, nil)
			first := make(chan reply, 1)
			go func() { first <- f1.do(call{body: streamBody, identity: "i"}) }()
			eventually(t, "first try begun", func() bool { return e.runs.Load() == 1 })
			var firstReply reply
			if !test.running {
				firstReply = <-first
			} else {
				time.AfterFunc(20*time.Millisecond, func() { close(release) })
			}
			secondReply := f2.do(call{body: streamBody, identity: "i"})
			if test.running {
				firstReply = <-first
			}
			if !test.fetched {
				checkRefusal(t, secondReply, codeAnswerGone, ran)
			} else if secondReply.body != firstReply.body || secondReply.err != nil || secondReply.header.Get(ReplayedHeader) == "" {
				t.Errorf("first %+v, second %+v", firstReply, secondReply)
			}
			if e.runs.Load() != 1 {
				t.Errorf("ran %d times", e.runs.Load())
			}
			l.checkBudget(t, "pew", 5, 0)
		})
	}
}

// TestAnswersNeverCross checks that every caller gets only its own answer. Many
// callers send distinct contents; some disconnect halfway and some send a request
// twice; the upstream answers with random delays. The content of each answer is
// compared in full.
func TestAnswersNeverCross(t *testing.T) {
	const (
		callers  = 24
		requests = 25
		parts    = 12
	)
	seed := testSeed(t)
	l := newLedger(t, "r1")
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		random := rand.New(rand.NewPCG(seed, uint64(len(raw))))
		word := textBetween(string(raw), `"content":"`, `"`)
		if !strings.Contains(string(raw), `"stream":true`) {
			time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
			fmt.Fprintf(w, `{"choices":[{"message":{"content":%q}}],"usage":{"total_tokens":2}}`, strings.Repeat(word, parts))
			return
		}
		w.Header().Set("Content-Type", eventsType)
		for range parts {
			writeEvent(w, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q}}]}`, word))
			time.Sleep(time.Duration(random.IntN(200)) * time.Microsecond)
		}
		writeEvent(w, `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
		writeEvent(w, "[DONE]")
	})
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {echo, echo}}, nil)
	var all sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		customer := []string{"pew", "kviitung"}[caller%2]
		all.Go(func() {
			for i := range requests {
				word := fmt.Sprintf("[%s-%d-%d]", customer, caller, i)
				c := call{
					key: keyOf(customer), identity: fmt.Sprint(caller/2, "-", i),
					body: fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"%s"}],"max_tokens":500,"stream":%v}`, word, random.IntN(2) == 0),
				}
				if random.IntN(4) == 0 {
					abandonRequest(t, f, c, random.IntN(400))
					continue
				}
				for range 1 + random.IntN(2) {
					checkContent(t, f.do(c), strings.Repeat(word, parts))
				}
			}
		})
	}
	all.Wait()
	eventually(t, "nothing in flight", func() bool { return len(f.gateway.flights.list()) == 0 })
	if err := l.book.Check(); err != nil {
		t.Error(err)
	}
	for _, customer := range []string{"pew", "kviitung"} {
		if reserved := l.book.Budget(customer).GetReserved(); reserved != 0 {
			t.Errorf("%s: %d tokens still reserved", customer, reserved)
		}
	}
}

// abandonRequest sends a request and disconnects after some bytes of its answer.
func abandonRequest(t *testing.T, f *fixture, c call, after int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp, err := f.request(ctx, c)
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.ReadFull(resp.Body, make([]byte, after))
	cancel()
	_ = resp.Body.Close()
}

// checkContent fails the test unless r contains exactly the content wanted.
func checkContent(t *testing.T, r reply, want string) {
	got, done := contentOf(r.body)
	if !done {
		got = textBetween(r.body, `"content":"`, `"`)
	}
	if r.status != 200 || r.err != nil || got != want {
		t.Errorf("got %d %q %v, want %q", r.status, r.body, r.err, want)
	}
}

// textBetween returns the part of text between from and to.
func textBetween(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	inner, _, _ := strings.Cut(rest, to)
	return inner
}
