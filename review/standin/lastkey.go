package main

import (
	"fmt"
	"net/http"
	"time"
)

// configApply is the time after the confirmation of a configuration from which it must be obeyed.
const configApply = 2 * time.Second

// lastKeyCase takes the only key away: the next version of the configuration has an empty list of
// tenants. Afterwards clients with the old key, with a key that never existed and without a key
// send requests that must not be repeated.
func lastKeyCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Document in force")
	desk, err := newWorker(rec, "i-desk", f.ip(5), nil)
	if err != nil {
		return failed, err
	}
	defer desk.close()
	f.list.set(desk.instance("desk", "zone-a"))
	if err := f.startAll(3); err != nil {
		return failed, err
	}
	o := newOperator(f, 1, 2, 3)
	if status := o.put(configuration(1, `[{"name":"shop","api_keys":["key-shop"],"priority":1,"prepaid":100000}]`), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the first configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	send := func(id, key string, machine int) bool {
		header := map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "1000"}
		if key != "" {
			header["Authorization"] = "Token " + key
		}
		f.request(machine, http.MethodPost, "/book/1", "a booking", header)
		return desk.ran(id) > 0
	}
	if !send("before-own", "key-shop", 1) {
		return failed, fmt.Errorf("a request with the key did not run")
	}
	if send("before-unknown", "key-nobody", 1) || send("before-none", "", 1) {
		return failed, fmt.Errorf("a request without the key ran before the disruption")
	}
	if trouble {
		if status := o.put(configuration(2, `[]`), 40*time.Second); status != http.StatusOK {
			return failed, fmt.Errorf("the second configuration got status %d", status)
		}
	}
	time.Sleep(2 * configApply)
	ran := 0
	for machine := 1; machine <= 3; machine++ {
		if trouble && send(fmt.Sprintf("dropped-%d", machine), "key-shop", machine) {
			ran++
		}
		if send(fmt.Sprintf("unknown-%d", machine), "key-nobody", machine) {
			ran++
		}
		if send(fmt.Sprintf("none-%d", machine), "", machine) {
			ran++
		}
	}
	rec.add("%d requests ran whose key is not in force, never was, or that had none", ran)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}
