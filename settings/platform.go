package settings

import (
	"time"

	"ebonypulley/config"
	"ebonypulley/jsonc"
	"ebonypulley/platform"
)

// DefaultPlatformEntry returns the settings of an entry on the platform with
// their defaults.
func DefaultPlatformEntry() platform.Settings {
	return platform.Settings{
		Name:        "edge-alm-a-1",
		DataCentre:  "alm-a",
		Listen:      "127.10.1.1:8080",
		Ready:       "127.10.1.1:8081",
		Peers:       "127.10.1.1:8082",
		Metrics:     "127.10.1.1:8083",
		Store:       "127.10.0.1:7001",
		Seeds:       []string{"127.10.1.1:8082"},
		Grace:       config.Duration(8 * time.Second),
		RetryRatio:  0.2,
		RetryWindow: config.Duration(10 * time.Second),
		RetrySlack:  50,
		QuotaWindow: config.Duration(10 * time.Second),
	}
}

// LoadPlatformEntry reads the settings of an entry on the platform.
func LoadPlatformEntry(file string) (platform.Settings, error) {
	s := platform.Settings{QuotaWindow: DefaultPlatformEntry().QuotaWindow} // quota_window may be left out
	err := load(file, &s,
		required("name", &s.Name),
		required("data_centre", &s.DataCentre),
		ipPort("listen", &s.Listen, false),
		ipPort("ready", &s.Ready, false),
		ipPort("peers", &s.Peers, false),
		ipPort("metrics", &s.Metrics, true),
		ipPort("store", &s.Store, false),
		ipPorts("seeds", &s.Seeds),
		positive("grace", &s.Grace),
		positive("retry_window", &s.RetryWindow),
		positive("quota_window", &s.QuotaWindow),
		notNegative("retry_slack", &s.RetrySlack),
		notNegative("quota_overrun", &s.QuotaOverrun),
		notNegative("quota_slack", &s.QuotaSlack),
		notNegative("memory_mb", &s.MemoryMB),
		notNegative("max_descriptors", &s.MaxDescriptors),
	)
	return s, err
}

// ipPorts requires each value to be IP:port.
func ipPorts(field string, values *[]string) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		for i := range *values {
			ipPort(field, &(*values)[i], false)(src, report)
		}
	}
}

func positive(field string, d *config.Duration) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if *d <= 0 {
			report(src.Finding("/"+field, "%s must be above 0", field))
		}
	}
}

func notNegative[T int | float64](field string, value *T) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if *value < 0 {
			report(src.Finding("/"+field, "%s must not be negative", field))
		}
	}
}
