package kcwmemory_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"kingcupwick.example/kcw/kcwmemory"
)

// stopping is a body that stops short of its end until it is aborted.
type stopping struct {
	data    io.Reader
	stopped chan struct{}
	aborted chan struct{}
	// once and ending guard the closing of the channels.
	once, ending sync.Once
}

func newStopping(size int) *stopping {
	return &stopping{data: strings.NewReader(strings.Repeat("x", size)), stopped: make(chan struct{}), aborted: make(chan struct{})}
}

var errAborted = errors.New("aborted")

func (s *stopping) Read(p []byte) (int, error) {
	if n, _ := s.data.Read(p); n > 0 {
		return n, nil
	}
	s.once.Do(func() { close(s.stopped) })
	<-s.aborted
	return 0, errAborted
}

func (s *stopping) abort() { s.ending.Do(func() { close(s.aborted) }) }

// TestStoppedBodiesMakeRoom guards against bodies that stop short of their end and keep the
// memory from others, which were refused until the deadlines of such bodies.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	const limit, size = 1 << 20, 200 << 10
	a := kcwmemory.New(limit)
	var receiving sync.WaitGroup
	var bodies []*stopping
	errs := make(chan error, 100)
	start := func(size int) {
		body := newStopping(size - 1)
		bodies = append(bodies, body)
		ended := make(chan struct{})
		receiving.Go(func() {
			defer close(ended)
			_, acquired, err := a.Receive(body, int64(size), limit, body.abort)
			a.Release(acquired)
			errs <- err
		})
		select {
		case <-body.stopped:
		case <-ended:
		}
	}
	// The sizes fill what the large bodies leave.
	for range 3 {
		for size := size; size > 1000; size /= 2 {
			start(size)
		}
	}
	for range 20 {
		start(60 << 10)
	}
	if held := a.Held(); held > limit || held < limit/2 {
		t.Errorf("%d bytes are held, the limit is %d", held, limit)
	}
	aborts := len(errs)
	// It is refused while aborted bodies are still being read.
	var data []byte
	var acquired int64
	err := errAborted
	for end := time.Now().Add(time.Minute); err != nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.Release(acquired)
		data, acquired, err = a.Receive(strings.NewReader(strings.Repeat("x", 32<<10)), 32<<10, limit, func() {})
	}
	if err != nil || len(data) != 32<<10 || acquired > a.Held() {
		t.Errorf("an ordinary body: %d bytes, error %v", len(data), err)
	}
	a.Release(acquired)
	for _, body := range bodies {
		body.abort()
	}
	receiving.Wait()
	close(errs)
	full := 0
	for err := range errs {
		var failure *kcwmemory.Error
		switch {
		case errors.As(err, &failure) && failure.Kind == kcwmemory.Full:
			full++
		case !errors.Is(err, errAborted):
			t.Errorf("a body that stops ended with %v", err)
		}
	}
	if full == 0 || a.Held() != 0 {
		t.Errorf("%d bodies were aborted (%d before), and %d bytes are held", full, aborts, a.Held())
	}
}

// TestAnswersTakePrecedence checks that other memory is acquired at the cost of bodies that
// clients are sending, and never at that of whole bodies.
func TestAnswersTakePrecedence(t *testing.T) {
	const limit = 1 << 20
	a := kcwmemory.New(limit)
	whole, acquired, err := a.Receive(bytes.NewReader(make([]byte, limit/4)), limit/4, limit, func() { t.Error("a whole body was aborted") })
	if err != nil || len(whole) != limit/4 {
		t.Fatalf("%d bytes, %v", len(whole), err)
	}
	body := newStopping(limit/8 - 1)
	done := make(chan error)
	go func() {
		_, acquired, err := a.Receive(body, limit/8, limit, body.abort)
		a.Release(acquired)
		done <- err
	}()
	<-body.stopped
	rest := limit - acquired
	if !a.TryAcquire(rest) {
		t.Error("a body that stops kept the memory")
	}
	if a.TryAcquire(1) {
		t.Error("more was acquired than the limit")
	}
	var failure *kcwmemory.Error
	if err := <-done; !errors.As(err, &failure) || failure.Kind != kcwmemory.Full {
		t.Errorf("the body ended with %v", err)
	}
	a.Release(rest + acquired)
	if a.Held() != 0 {
		t.Errorf("%d bytes are held", a.Held())
	}
}

// TestContent guards against bodies that are put together wrongly from their pieces.
func TestContent(t *testing.T) {
	const limit, chunk = 1 << 20, 64 << 10
	random := rand.New(rand.NewPCG(1, 1))
	a := kcwmemory.New(8 * limit)
	for _, size := range []int{0, 1, 4095, 4096, 4097, chunk - 1, chunk, chunk + 1, 2*chunk - 1, 2 * chunk, 3*chunk + 5, limit - 1, limit} {
		want := make([]byte, size)
		for n := range want {
			want[n] = byte(random.Uint32())
		}
		for _, announced := range []int64{int64(size), -1} {
			for name, r := range map[string]io.Reader{
				"at once": bytes.NewReader(want), "in halves": iotest.HalfReader(bytes.NewReader(want)), "with the end": iotest.DataErrReader(bytes.NewReader(want)),
			} {
				got, acquired, err := a.Receive(r, announced, limit, func() { t.Error("aborted") })
				if err != nil || !bytes.Equal(got, want) || int64(cap(got)) > acquired || a.Held() != acquired {
					t.Errorf("%d bytes, %d announced, %s: got %d bytes, %d acquired, %d held, error %v", size, announced, name, len(got), acquired, a.Held(), err)
				}
				a.Release(acquired)
			}
		}
	}
	var failure *kcwmemory.Error
	if _, acquired, err := a.Receive(bytes.NewReader(make([]byte, limit+1)), -1, limit, func() {}); !errors.As(err, &failure) || failure.Kind != kcwmemory.TooLarge || acquired != a.Held() {
		t.Errorf("a body over the limit: %v, %d acquired, %d held", err, acquired, a.Held())
	}
}

// TestReceivedBodiesAreNotCommitted guards against bodies that clients are sending, and that give way to
// others, that count as load.
func TestReceivedBodiesAreNotCommitted(t *testing.T) {
	const limit, size = 1 << 20, 200 << 10
	a := kcwmemory.New(limit)
	body := newStopping(size - 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, acquired, _ := a.Receive(body, size, limit, body.abort)
		a.Release(acquired)
	}()
	<-body.stopped
	whole, acquired, err := a.Receive(bytes.NewReader(make([]byte, size)), size, limit, func() {})
	if err != nil || a.Committed() != acquired || a.Held() < acquired+size {
		t.Errorf("%d bytes are committed and %d held beside a body of %d, error %v", a.Committed(), a.Held(), len(whole), err)
	}
	// What is held beyond the limit takes the memory of the body that is being sent.
	a.Acquire(limit)
	<-done
	a.Release(limit + acquired)
	if a.Committed() != 0 || a.Held() != 0 {
		t.Errorf("%d bytes are committed and %d held afterwards", a.Committed(), a.Held())
	}
}

// TestYieldedMemoryIsTaken guards against memory that its holder gives up but that others don't get,
// and against memory that counts twice or not at all afterwards.
func TestYieldedMemoryIsTaken(t *testing.T) {
	const limit, size = 1000, 600
	a := kcwmemory.New(limit)
	if !a.TryAcquire(size) || a.TryAcquire(size) {
		t.Fatal("the limit is not that of the account")
	}
	aborted := make(chan struct{})
	end := a.Yield(size, func() { close(aborted) })
	if a.Committed() != 0 || !a.TryAcquire(size) {
		t.Errorf("%d bytes are committed", a.Committed())
	}
	<-aborted
	end()
	a.Release(size)
	a.Yield(size, func() { t.Error("aborted without need") })()
	a.Release(size)
	if a.Held() != 0 || a.Committed() != 0 {
		t.Errorf("%d bytes are held, %d committed", a.Held(), a.Committed())
	}
}
