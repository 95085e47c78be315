// Package kcwsetup holds the settings file of a stand-in.
package kcwsetup

import (
	"net/netip"
	"time"

	"kingcupwick.example/kcw/kcwsettings"
)

// Settings is the INI file of a stand-in.
type Settings struct {
	Standin struct {
		// Kind is what the stand-in is.
		Kind string `setting:"required,oneof=engine|plain"`
		// Address is where routers reach it.
		Address netip.AddrPort `setting:"required"`
		// Control is where faults are ordered and the record is read; it
		// answers while Address refuses.
		Control netip.AddrPort `setting:"required"`
		// Record is the file that each request is added to; empty for none.
		Record   string
		LogLevel string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
		// StopTimeout bounds the wait for requests in progress at a stop.
		StopTimeout time.Duration `default:"30s" setting:"min=0s"`
	}
	Engine struct {
		Models        []string
		Capacity      int           `default:"32" setting:"min=1,max=100000"`
		FirstToken    time.Duration `default:"20ms" setting:"min=0s"`
		BetweenTokens time.Duration `default:"5ms" setting:"min=0s"`
		LoadLag       time.Duration `default:"500ms" setting:"min=0s"`
	}
	Plain struct {
		Capacity int           `default:"32" setting:"min=1,max=100000"`
		Work     time.Duration `default:"5ms" setting:"min=0s"`
	}
}

// Load reads and checks the settings at path. The error names every problem.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}
