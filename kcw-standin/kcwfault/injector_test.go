package kcwfault

import (
	"net/http/httptest"
	"strings"
	"testing"
)

func TestServeHTTP(t *testing.T) {
	for _, test := range []struct {
		body   string
		status int
	}{
		{`{"Delay":"1s","Count":2}`, 200},
		{`{}`, 200},
		{`{"Delay":"1"}`, 400},
		{`{"Late":"soon"}`, 400},
		{`{"Pause":"1s","PauseAfter":2}`, 200},
		{`{"Pause":"1"}`, 400},
		{`{"Unknown":1}`, 400},
		{`{`, 400},
	} {
		recorder := httptest.NewRecorder()
		New(nil).ServeHTTP(recorder, httptest.NewRequest("PUT", "/fault", strings.NewReader(test.body)))
		if recorder.Code != test.status {
			t.Errorf("%s: got %d, want %d", test.body, recorder.Code, test.status)
		}
	}
}

func TestTakeCounts(t *testing.T) {
	injector := New(nil)
	if err := injector.Set(Config{Status: 500, Count: 2, Path: "/a", Drain: true}); err != nil {
		t.Fatal(err)
	}
	for i, test := range []struct {
		path string
		want int
	}{{"/b", 0}, {"/a", 500}, {"/a/b", 500}, {"/a", 0}} {
		if got := injector.Take(test.path); got.Status != test.want || !got.Drain {
			t.Errorf("request %d: got %+v, want status %d", i, got, test.want)
		}
	}
}
