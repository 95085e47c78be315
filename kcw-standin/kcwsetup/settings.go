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
		// Kind selects the simulated service.
		Kind string `setting:"required,oneof=engine|plain"`
		// Address is the address at which routers reach the stand-in.
		Address netip.AddrPort `setting:"required"`
		// Control is the address of the faults, the record and the health
		// checks. It answers even while Address refuses connections.
		Control netip.AddrPort `setting:"required"`
		// Record is the file to which each request is appended, empty for none.
		Record   string
		LogLevel string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
		// StopTimeout is the maximum wait for requests in progress at shutdown.
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

// Load reads and validates the settings file at path. The error lists every
// problem.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}
