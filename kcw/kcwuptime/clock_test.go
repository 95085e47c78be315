package kcwuptime_test

import (
	"testing"

	"kingcupwick.example/kcw/kcwuptime"
)

func TestClock(t *testing.T) {
	first, err := kcwuptime.New()
	if err != nil {
		t.Fatal(err)
	}
	second, err := kcwuptime.New()
	if err != nil {
		t.Fatal(err)
	}
	if first.Boot() == "" || first.Boot() != second.Boot() {
		t.Errorf("boots %q and %q, want the same", first.Boot(), second.Boot())
	}
	if second.Started() < first.Started() || second.Now() < second.Started() {
		t.Errorf("the uptime decreases: %v, %v, %v", first.Started(), second.Started(), second.Now())
	}
}
