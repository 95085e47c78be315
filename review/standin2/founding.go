package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// startSpread is the time within which all machines start for the first time.
	startSpread = 300 * time.Millisecond
	// killedAfter is how long the first member of the core runs before its process is killed, and
	// restartedAfter how much later the platform starts it again.
	killedAfter    = startSpread / 2
	restartedAfter = time.Second
	// ackTime is the ack_ms of the small sites, and orderTime how long the operator sends its first
	// configuration here.
	ackTime   = 4 * time.Second
	orderTime = 40 * time.Second
)

// playFounding starts the whole system for the first time, while the process of one member of the
// core is killed and started again.
func playFounding(f *fleet) bool {
	first := f.start("control", 1, true, true)
	f.start("control", 2, true, true)
	for n := 1; n <= 3; n++ {
		f.start("router", n, true, false)
	}
	time.Sleep(killedAfter)
	if trouble() {
		first.kill()
		f.log("the process of member 1 is killed, %v after its start", killedAfter)
	}
	time.Sleep(startSpread - killedAfter)
	f.start("control", 3, true, true)
	if trouble() {
		time.Sleep(restartedAfter - (startSpread - killedAfter))
		f.start("control", 1, true, false)
		f.log("the process of member 1 starts again, with its disk, and bootstrap = false")
	}
	time.Sleep(contact)
	f.log("the core is stable: all of it has run for %v", contact)
	body, err := json.Marshal(newDocument(1, 10))
	must(err)
	began := time.Now()
	last := ""
	for n := 0; time.Since(began) < orderTime; n++ {
		host := 1 + n%3
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
