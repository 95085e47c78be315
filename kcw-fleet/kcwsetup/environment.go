package kcwsetup

import (
	"fmt"
	"os"

	"kingcupwick.example/kcw/kcwsettings"
)

// environment holds the settings that environment variables state where the settings file does
// not: resources of the host and bounds that only some deployments have. A deployment can so add
// them without a change of its settings files.
type environment struct {
	Host struct {
		Cores          float64 `default:"0" setting:"min=0,max=1024"`
		MaxDescriptors int     `default:"0" setting:"min=0,max=10000000"`
	}
	Cold Cold
}

// Environment variables of daemons.
const (
	CoresVariable          = "KCW_CORES"
	MaxDescriptorsVariable = "KCW_MAX_DESCRIPTORS"
	ColdOverageVariable    = "KCW_COLD_OVERAGE"
	ColdSlackVariable      = "KCW_COLD_SLACK"
)

// loadEnvironment reads and validates the environment variables. A variable that is empty states
// nothing. The error lists every problem.
func loadEnvironment() (environment, error) {
	text := ""
	for _, section := range []struct {
		name string
		keys [][2]string
	}{
		{"Host", [][2]string{{"Cores", CoresVariable}, {"MaxDescriptors", MaxDescriptorsVariable}}},
		{"Cold", [][2]string{{"Overage", ColdOverageVariable}, {"Slack", ColdSlackVariable}}},
	} {
		text += "[" + section.name + "]\n"
		for _, key := range section.keys {
			if value := os.Getenv(key[1]); value != "" {
				text += fmt.Sprintf("%s = %s\n", key[0], value)
			}
		}
	}
	var e environment
	err := kcwsettings.New("environment", []byte(text)).Decode(&e)
	return e, err
}

// addEnvironment sets those of the settings that the settings file leaves at zero.
func addEnvironment(cores *float64, descriptors *int, cold *Cold) error {
	e, err := loadEnvironment()
	if err != nil {
		return err
	}
	if cores != nil && *cores == 0 {
		*cores = e.Host.Cores
	}
	if *descriptors == 0 {
		*descriptors = e.Host.MaxDescriptors
	}
	if *cold == (Cold{}) {
		*cold = e.Cold
	}
	return nil
}
