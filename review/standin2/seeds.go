package main

import (
	"net/http"
	"time"
)

const (
	// ackTime is the ack_ms of the small sites, and orderTime how long the operator sends its first
	// configuration here.
	ackTime   = 4 * time.Second
	orderTime = 40 * time.Second
	// withoutDisk is the first host whose control process has no disk.
	withoutDisk = 4
	// numControl is the number of hosts that serve control, two in each of three zones.
	numControl = 6
)

// playSeeds starts the whole system for the first time. One of the seeds has no disk.
func playSeeds(f *fleet) bool {
	if trouble() {
		f.seeds = []int{1, 2, withoutDisk}
	}
	f.log("machines 1 to 3 have a disk, 4 to 6 have none; all serve control; the seeds are machines %v", f.seeds)
	for n := 1; n <= numControl; n++ {
		f.start("control", n, n < withoutDisk, true)
		f.start("router", n, n < withoutDisk, true)
	}
	time.Sleep(contact)
	f.log("the core is stable: all machines have run for %v", contact)
	body := encode(newDocument(1, 10))
	began := time.Now()
	last := ""
	for n := 0; time.Since(began) < orderTime; n++ {
		host := 1 + n%numControl
		status, answer, err := f.call(http.MethodPut, host, body)
		if err == nil && status == http.StatusOK {
			elapsed := time.Since(began)
			f.log("the first configuration is acknowledged after %v", elapsed.Round(time.Millisecond))
			return !f.readBack(1, contact+time.Second) || elapsed > ackTime
		}
		if text := string(answer); text != last {
			f.log("PUT at machine %d: status %d, %q, error %v", host, status, answer, err)
			last = text
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.log("the first configuration has no confirmation after %v (ack_ms is %v)", orderTime, ackTime)
	isRead := f.readBack(1, contact+time.Second)
	f.log("read back: %v; router 2 is ready: %v", isRead, f.awaitReady(2, time.Second))
	return !isRead
}
