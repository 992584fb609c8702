// Package settings reads and validates the settings file of a process: JSON with
// comments, as strict as the configuration document.
package settings

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/agent"
	"ebonypulley/config"
	"ebonypulley/entry"
	"ebonypulley/jsonc"
	"ebonypulley/standin"
)

var (
	settingsErrors = errorx.NewNamespace("settings")
	// ErrUnreadable is returned when the file can't be read.
	ErrUnreadable = settingsErrors.NewType("unreadable")
)

// rule validates one field.
type rule func(src *jsonc.Source, report func(jsonc.Finding))

// load decodes file into out and applies the rules. The error lists all findings.
func load(file string, out any, rules ...rule) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return ErrUnreadable.Wrap(err, "settings")
	}
	src, findings := jsonc.Decode(file, text, out)
	if findings.Errors() > 0 {
		return findings.Err()
	}
	for _, check := range rules {
		check(src, func(f jsonc.Finding) { findings = append(findings, f) })
	}
	findings.Sort()
	return findings.Err()
}

// required requires a value that is not empty.
func required(field string, value *string) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if *value == "" {
			report(src.Finding("/"+field, "%s is missing", field))
		}
	}
}

// ipPort requires the value to be IP:port, or empty if it is optional.
func ipPort(field string, value *string, optional bool) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if optional && *value == "" {
			return
		}
		if _, err := netip.ParseAddrPort(*value); err != nil {
			report(src.Finding("/"+field, "%s must be IP:port, not %q", field, *value))
		}
	}
}

// httpURL requires the value to be an http or https URL, or empty.
func httpURL(field string, value *string) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if *value == "" {
			return
		}
		if u, err := url.Parse(*value); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			report(src.Finding("/"+field, "%s must be an http or https URL, not %q", field, *value))
		}
	}
}

// DefaultEntry returns the settings of an entry with their defaults.
func DefaultEntry() entry.Settings {
	return entry.Settings{
		Name:          "alm-a-entry-1",
		DataCentre:    "alm-a",
		Listen:        "127.10.1.1:8080",
		Debug:         "127.10.1.1:8081",
		ConfigService: "http://127.10.0.1:7001",
		VMList:        "http://127.10.0.1:7002",
		DrainNotice:   config.Duration(2 * time.Second),
	}
}

// LoadEntry reads the settings of an entry.
func LoadEntry(file string) (entry.Settings, error) {
	var s entry.Settings
	err := load(file, &s,
		required("name", &s.Name),
		required("data_centre", &s.DataCentre),
		ipPort("listen", &s.Listen, false),
		ipPort("debug", &s.Debug, true),
		httpURL("config_service", &s.ConfigService),
		httpURL("vm_list", &s.VMList),
	)
	return s, err
}

// DefaultAgent returns the settings of an agent with their defaults.
func DefaultAgent() agent.Settings {
	return agent.Settings{
		Name:          "alm-a-decode-1",
		DataCentre:    "alm-a",
		Listen:        "127.10.1.31:7100",
		Debug:         "127.10.1.31:7101",
		ConfigService: "http://127.10.0.1:7001",
	}
}

// LoadAgent reads the settings of an agent.
func LoadAgent(file string) (agent.Settings, error) {
	var s agent.Settings
	err := load(file, &s,
		required("name", &s.Name),
		required("data_centre", &s.DataCentre),
		ipPort("listen", &s.Listen, false),
		ipPort("debug", &s.Debug, true),
		httpURL("config_service", &s.ConfigService),
	)
	return s, err
}

// DefaultStandin returns the settings of a stand-in with their defaults.
func DefaultStandin() standin.Settings {
	return standin.Settings{Kind: standin.KindEngine, Listen: "127.10.1.31:8000"}
}

// LoadStandin reads the settings of a stand-in.
func LoadStandin(file string) (standin.Settings, error) {
	var s standin.Settings
	kind := func(src *jsonc.Source, report func(jsonc.Finding)) {
		if !s.Kind.Valid() {
			report(src.Finding("/kind", "unknown kind %q; want one of %v", s.Kind, standin.Kinds))
		}
	}
	err := load(file, &s, kind, ipPort("listen", &s.Listen, false))
	return s, err
}

// Format returns settings as the text of a settings file.
func Format(s any) ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "format")
	}
	return append(text, '\n'), nil
}
