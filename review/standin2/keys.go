package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// applyTime is the config_apply_ms of the small sites.
	applyTime = 2 * time.Second
	// tries is the number of requests with each key.
	tries = 10
	// otherKey is the key of a team that stays, and unknownKey one that no configuration ever held.
	otherKey   = "anfqasnmgkcuyj8pjbvk"
	unknownKey = "zzzzzzzzzzzzzzzzzzzz"
)

// playKeys takes all keys away.
func playKeys(f *fleet) bool {
	all := &runs{}
	f.startBooking(bookDocument(1, map[string]string{"hule930": bookKey}), func(worker int, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n := all.begin(fmt.Sprintf("i-%d", worker), r.Header.Get(header("attempt")), r.Header.Get(header("team")))
		time.Sleep(workTime)
		all.end(n, true)
		w.Header().Set(header("seal"), "seal-of-"+n.id)
		_, _ = io.WriteString(w, "booked")
	})
	f.tryKeys(all, "version 1")
	teams := map[string]string{}
	if !trouble() {
		teams["other"] = otherKey
	}
	if !f.put(3, bookDocument(2, teams), 10*time.Second) {
		fail("version 2 was not acknowledged")
	}
	f.log("version 2, with %d teams, is acknowledged", len(teams))
	time.Sleep(applyTime + time.Second)
	ran := f.tryKeys(all, "version 2")
	f.log("%d requests ran with a key that version 2 does not hold", ran)
	return ran > 0
}

// tryKeys sends requests with the key of version 1, with an unknown key and without one, and returns
// how many of them ran.
func (f *fleet) tryKeys(all *runs, when string) (ran int) {
	for _, key := range []string{bookKey, unknownKey, ""} {
		count := 0
		statuses := map[int]int{}
		for i := range tries {
			id := fmt.Sprintf("%x-%s-%d", time.Now().UnixNano(), key, i)
			status, _, _ := f.book(1+i%3, id, "b", key)
			statuses[status]++
			if len(all.of(id)) > 0 {
				count++
			}
		}
		f.log("%s, key %q: statuses %v, %d of %d ran", when, key, statuses, count, tries)
		ran += count
	}
	return ran
}
