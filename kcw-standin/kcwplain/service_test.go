package kcwplain

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

func TestService(t *testing.T) {
	record, injector := kcwrecord.New(nil), kcwfault.New(nil)
	server := httptest.NewServer(New(Config{Capacity: 2, Record: record, Faults: injector}))
	defer server.Close()
	for _, test := range []struct {
		method, path, body string
		faults             kcwfault.Config
		status             int
		answer, outcome    string
	}{
		{"POST", "/receipts", `{"Donor":"a"}`, kcwfault.Config{}, 201, `"Id":"r-1"`, kcwrecord.Finished},
		{"POST", "/receipts", `{"Donor":"a"}`, kcwfault.Config{}, 201, `"Id":"r-2"`, kcwrecord.Finished},
		{"GET", "/receipts/r-2", "", kcwfault.Config{}, 200, `{"Donor":"a"}`, kcwrecord.Finished},
		{"GET", "/receipts/r-3", "", kcwfault.Config{}, 404, "not found", kcwrecord.Finished},
		{"POST", "/bookings", `{`, kcwfault.Config{}, 400, "not JSON", kcwrecord.Finished},
		{"POST", "/bookings", `{}`, kcwfault.Config{Drain: true}, 503, "", kcwrecord.Refused},
		{"POST", "/bookings", `{}`, kcwfault.Config{ShortBody: true}, 201, "", kcwrecord.Broken},
		{"GET", "/bookings", "", kcwfault.Config{}, 200, `"b-1"`, kcwrecord.Finished},
		{"POST", "/bookings", `{"Pew":1}`, kcwfault.Config{Pause: "1ms"}, 201, `"Body":{"Pew":1}}`, kcwrecord.Finished},
		{"POST", "/bookings", `{"Pew":2}`, kcwfault.Config{Pause: "1ms", PauseAfter: 1}, 201, `"Body":{"Pew":2}}`, kcwrecord.Finished},
	} {
		if err := injector.Set(test.faults); err != nil {
			t.Fatal(err)
		}
		request, err := http.NewRequest(test.method, server.URL+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		entries := record.Entries()
		if response.StatusCode != test.status || !strings.Contains(string(answer), test.answer) {
			t.Errorf("%s %s: got %d %s", test.method, test.path, response.StatusCode, answer)
		}
		if last := entries[len(entries)-1]; last.Outcome != test.outcome && last.Outcome != kcwrecord.Running {
			t.Errorf("%s %s: record %+v", test.method, test.path, last)
		}
	}
}
