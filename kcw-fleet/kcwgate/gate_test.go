package kcwgate_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcupwick.example/kcw-fleet/kcwgate"
)

const maxWait = 100 * time.Millisecond

// TestOverload sends calls at different rates to a gate with a limit of four calls, each of
// which takes 20 ms, so that 200 calls a second can be served.
func TestOverload(t *testing.T) {
	const (
		limit    = 4
		callTime = 20 * time.Millisecond
		duration = 2 * time.Second
	)
	for _, test := range []struct {
		name      string
		perSecond int
		// minServed and maxServed bound the part of calls that are served.
		minServed, maxServed float64
	}{
		{"half of the capacity", 100, 1, 1},
		{"the capacity", 200, 1, 1},
		{"twice the capacity", 400, 0.49, 0.56},
		{"ten times the capacity", 2000, 0.09, 0.12},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := kcwgate.New(kcwgate.Config{Limit: limit, MaxWait: maxWait})
				var mu sync.Mutex
				served, refused := 0, 0
				var calls sync.WaitGroup
				sent := int(duration.Seconds() * float64(test.perSecond))
				for range sent {
					calls.Go(func() {
						startedAt := time.Now()
						err := gate.Enter(t.Context())
						if waited := time.Since(startedAt); waited > maxWait {
							t.Errorf("a call waited for %v", waited)
						}
						mu.Lock()
						if err == nil {
							served++
						} else {
							refused++
						}
						mu.Unlock()
						if err != nil {
							return
						}
						if active := gate.Stats().Active; active > limit {
							t.Errorf("%d calls are in progress", active)
						}
						time.Sleep(callTime)
						gate.Leave()
					})
					time.Sleep(time.Second / time.Duration(test.perSecond))
				}
				calls.Wait()
				if part := float64(served) / float64(sent); part < test.minServed || part > test.maxServed || served+refused != sent {
					t.Errorf("%d of %d calls were served, %d refused", served, sent, refused)
				}
				if s := gate.Stats(); s.Active != 0 || s.Waiting != 0 || s.Admitted != int64(served) || s.Refused != int64(refused) {
					t.Errorf("at the end the gate has %+v", s)
				}
			})
		})
	}
}

func TestCallerGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := kcwgate.New(kcwgate.Config{Limit: 1, MaxWait: maxWait})
		if err := gate.Enter(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), maxWait/2)
		defer cancel()
		var failure *kcwgate.Error
		if err := gate.Enter(ctx); !errors.As(err, &failure) || failure.Kind != kcwgate.Canceled {
			t.Errorf("the call of a caller that has gone ends with %v", err)
		}
		if err := gate.Enter(t.Context()); !errors.As(err, &failure) || failure.Kind != kcwgate.Busy {
			t.Errorf("a call that has waited ends with %v", err)
		}
		gate.Leave()
		if err := gate.Enter(t.Context()); err != nil {
			t.Errorf("a call to an idle gate ends with %v", err)
		}
		if s := gate.Stats(); s.Active != 1 || s.Waiting != 0 || s.Refused != 1 {
			t.Errorf("the gate has %+v", s)
		}
	})
}
