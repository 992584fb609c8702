// Package settings reads the settings file of one process: JSON with
// comments, checked as strictly as the configuration document.
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

// rule reports what is wrong with one field.
type rule func(src *jsonc.Source, report func(jsonc.Finding))

// load reads file into out and applies the rules.
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

func name(field string, value *string) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if *value == "" {
			report(src.Finding("/"+field, "%s is missing", field))
		}
	}
}

func address(field string, value *string, optional bool) rule {
	return func(src *jsonc.Source, report func(jsonc.Finding)) {
		if optional && *value == "" {
			return
		}
		if _, err := netip.ParseAddrPort(*value); err != nil {
			report(src.Finding("/"+field, "%s must be IP:port, not %q", field, *value))
		}
	}
}

func service(field string, value *string) rule {
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

// Entry reads the settings of an entry.
func Entry(file string) (entry.Settings, error) {
	var s entry.Settings
	err := load(file, &s,
		name("name", &s.Name),
		name("data_centre", &s.DataCentre),
		address("listen", &s.Listen, false),
		address("debug", &s.Debug, true),
		service("config_service", &s.ConfigService),
		service("vm_list", &s.VMList),
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

// Agent reads the settings of an agent.
func Agent(file string) (agent.Settings, error) {
	var s agent.Settings
	err := load(file, &s,
		name("name", &s.Name),
		name("data_centre", &s.DataCentre),
		address("listen", &s.Listen, false),
		address("debug", &s.Debug, true),
		service("config_service", &s.ConfigService),
	)
	return s, err
}

// DefaultStandin returns the settings of a stand-in with their defaults.
func DefaultStandin() standin.Settings {
	return standin.Settings{Kind: standin.KindEngine, Listen: "127.10.1.31:8000"}
}

// Standin reads the settings of a stand-in.
func Standin(file string) (standin.Settings, error) {
	var s standin.Settings
	kind := func(src *jsonc.Source, report func(jsonc.Finding)) {
		if !s.Kind.Valid() {
			report(src.Finding("/kind", "kind %q is none of %v", s.Kind, standin.Kinds))
		}
	}
	err := load(file, &s, kind, address("listen", &s.Listen, false))
	return s, err
}

// Format writes settings as their file.
func Format(s any) ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "format")
	}
	return append(text, '\n'), nil
}
