package kcwstatus_test

import (
	"slices"
	"testing"

	"kingcupwick.example/kcw/kcwstatus"
)

func TestMeansNotRun(t *testing.T) {
	want := []kcwstatus.Status{408, 421, 429, 503}
	for status := kcwstatus.Status(0); status < 1000; status++ {
		if got := status.MeansNotRun(); got != slices.Contains(want, status) {
			t.Errorf("%d: got %v", status, got)
		}
	}
}
