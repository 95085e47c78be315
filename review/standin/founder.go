package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the site file, and times of the case.
const (
	contact = 3 * time.Second
	ack     = 4 * time.Second

	secondKilledAt  = 200 * time.Millisecond
	thirdStartsAt   = 280 * time.Millisecond
	secondBackAt    = 1500 * time.Millisecond
	clientsBeginAt  = 10 * time.Second
	founderCaseEnds = 45 * time.Second
)

// founderCase starts a deployment for the first time: three machines that serve control, within
// 0.3 s. One process is killed before the last machine starts, and is started again 1.3 s later. No
// other disruption follows. An operator sends the first configuration until it is accepted, and
// clients send requests from the tenth second on.
func founderCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("founding", "Member starts")
	desk, err := newWorker(rec, "i-desk", f.ip(5), nil)
	if err != nil {
		return failed, err
	}
	defer desk.close()
	f.list.set(desk.instance("desk", "zone-a"))
	rec.start = time.Now()
	if err := f.startFirst(trouble); err != nil {
		return failed, err
	}
	stableAt := secondBackAt + contact
	var status int
	var acknowledgedAt time.Duration
	var wait sync.WaitGroup
	wait.Go(func() {
		status = newOperator(f, 1, 2, 3).put(plainDocument(1), founderCaseEnds)
		acknowledgedAt = rec.elapsed()
	})
	f.sleepUntil(clientsBeginAt)
	sent, served := 0, 0
	for ; rec.elapsed() < founderCaseEnds && served < 3; sent++ {
		header := map[string]string{wire.RequestID: fmt.Sprintf("a-%d", sent), wire.Deadline: "1000", "Authorization": "Token key-shop"}
		if f.request(1+sent%3, http.MethodGet, "/look/1", "", header).status == http.StatusOK {
			served++
		}
		time.Sleep(time.Second)
	}
	wait.Wait()
	for n := 1; n <= 3; n++ {
		rec.add("control-%d runs: %v, router-%d runs: %v", n, f.isRunning(fmt.Sprintf("control-%d", n)), n, f.isRunning(fmt.Sprintf("router-%d", n)))
	}
	rec.add("from %v on, all machines run and the core is stable", stableAt)
	rec.add("the first configuration: last status %d after %v", status, acknowledgedAt)
	rec.add("%d of %d requests were served", served, sent)
	isAcknowledged := status == http.StatusOK && acknowledgedAt <= stableAt+ack
	if !isAcknowledged || served == 0 {
		return broken, nil
	}
	return held, nil
}

// startFirst starts the machines for the first time. With trouble, the process for control on the
// second one is killed meanwhile and started again.
func (f *fleet) startFirst(trouble bool) error {
	start := func(n int) error {
		if err := f.start("control", n, true, true); err != nil {
			return err
		}
		return f.start("router", n, true, true)
	}
	for n := 1; n <= 2; n++ {
		if err := start(n); err != nil {
			return err
		}
	}
	f.sleepUntil(secondKilledAt)
	if trouble {
		f.kill("control-2")
	}
	f.sleepUntil(thirdStartsAt)
	if err := start(3); err != nil {
		return err
	}
	f.sleepUntil(secondBackAt)
	if !trouble {
		return nil
	}
	// This is not the first start of the whole system, so bootstrap is false.
	return f.start("control", 2, false, true)
}
