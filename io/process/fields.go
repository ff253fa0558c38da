package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"
)

// Limits of the settings key, grace, log.sample, quota and rollout.
const (
	minKeyBytes = 16               // shortest key; a shorter one can be guessed
	maxGrace    = 10 * time.Minute // longest grace, because a rolling restart waits for each stop
	maxSample   = 1_000_000        // most calls for one success line
	minWindow   = time.Second      // a shorter window is less than the time for which nodes hold tokens of a quota
	maxWindow   = 10 * time.Minute
	maxOverage  = 1           // twice the quota
	maxSlack    = 1_000_000   // requests
	minRollback = time.Second // covers one report of a node and one step of the leader
	maxRollback = time.Minute
)

// Field describes one setting.
type Field struct {
	Path     string // name in a settings file, such as "listen.caller"
	Unit     string // type or unit of the value
	Default  string // default value as written in a file; empty if there is none
	Required bool
	set      func(s *Settings, raw json.RawMessage) string // returns what is expected, or an empty string for a valid value
}

// namePattern limits names to characters that are valid in file names, keys and metrics labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const (
	nameExpected     = "a name of lower-case letters, digits and hyphens, at most 63 characters"
	addressExpected  = `an IP address and port such as "10.0.0.1:7000"`
	graceExpected    = `a time with its unit from "0s" to "10m", such as "30s"`
	windowExpected   = `a time with its unit from "1s" to "10m", such as "5s"`
	rollbackExpected = `a time with its unit from "1s" to "1m", such as "5s"`
)

// Fields returns all settings in the order in which the documentation lists them.
func Fields() []Field {
	return []Field{
		{Path: "name", Unit: "name", Required: true, set: setName(func(s *Settings) *string { return &s.Name })},
		{Path: "region", Unit: "name", Required: true, set: setName(func(s *Settings) *string { return &s.Region })},
		{Path: "domain", Unit: "name", Required: true, set: setName(func(s *Settings) *string { return &s.Domain })},
		{Path: "data", Unit: "folder", set: setPath(func(s *Settings) *string { return &s.Data })},
		{Path: "replicas", Unit: "list of name and address", Required: true},
		{Path: "listen.caller", Unit: "IP address and port", Required: true, set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Caller })},
		{Path: "listen.local", Unit: "IP address and port", Default: "127.0.0.1:7001", set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Local })},
		{Path: "listen.backend", Unit: "IP address and port", Default: "127.0.0.1:7002", set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Backend })},
		{Path: "listen.peer", Unit: "IP address and port", Default: "127.0.0.1:7003", set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Peer })},
		{Path: "listen.operator", Unit: "IP address and port", Default: "127.0.0.1:7004", set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Operator })},
		{Path: "listen.metrics", Unit: "IP address and port", Default: "127.0.0.1:7005", set: setAddress(func(s *Settings) *netip.AddrPort { return &s.Listen.Metrics })},
		{Path: "key", Unit: `text, or {"file": PATH}`, set: setKey},
		{Path: "tls.cert", Unit: "PEM file", set: setPath(func(s *Settings) *string { return &s.TLS.Cert })},
		{Path: "tls.key", Unit: "PEM file", set: setPath(func(s *Settings) *string { return &s.TLS.Key })},
		{Path: "tls.ca", Unit: "PEM file", set: setPath(func(s *Settings) *string { return &s.TLS.CA })},
		{Path: "profile", Unit: `"fast" or "thrifty"`, Default: "fast", set: setProfile},
		{Path: "log.level", Unit: `"debug", "info" or "error"`, Default: "info", set: setLevel},
		{Path: "log.sample", Unit: "calls for one success line", Default: "1000", set: setSample},
		{Path: "grace", Unit: "time with unit", Default: "30s", set: setDuration(func(s *Settings) *time.Duration { return &s.Grace }, 0, maxGrace, graceExpected)},
		{Path: "quota.window", Unit: "time with unit", Default: "5s", set: setDuration(func(s *Settings) *time.Duration { return &s.Quota.Window }, minWindow, maxWindow, windowExpected)},
		{Path: "quota.overage", Unit: "share of the quota", Default: "0.1", set: setNumber(func(s *Settings) *float64 { return &s.Quota.Overage }, maxOverage)},
		{Path: "quota.slack", Unit: "requests", Default: "20", set: setNumber(func(s *Settings) *float64 { return &s.Quota.Slack }, maxSlack)},
		{Path: "rollout.share", Unit: "part of all requests", Default: "0.1", set: setRolloutShare},
		{Path: "rollout.slack", Unit: "requests", Default: "50", set: setNumber(func(s *Settings) *float64 { return &s.Rollouts.Slack }, maxSlack)},
		{Path: "rollout.rollback", Unit: "time with unit", Default: "5s", set: setDuration(func(s *Settings) *time.Duration { return &s.Rollouts.Rollback }, minRollback, maxRollback, rollbackExpected)},
	}
}

func setName(field func(*Settings) *string) func(*Settings, json.RawMessage) string {
	return func(s *Settings, raw json.RawMessage) string {
		if json.Unmarshal(raw, field(s)) != nil || !namePattern.MatchString(*field(s)) {
			return nameExpected
		}
		return ""
	}
}

func setPath(field func(*Settings) *string) func(*Settings, json.RawMessage) string {
	return func(s *Settings, raw json.RawMessage) string {
		if json.Unmarshal(raw, field(s)) != nil || *field(s) == "" {
			return "a path as text"
		}
		*field(s) = s.resolve(*field(s))
		return ""
	}
}

func setAddress(field func(*Settings) *netip.AddrPort) func(*Settings, json.RawMessage) string {
	return func(s *Settings, raw json.RawMessage) string {
		a, ok := parseAddress(raw)
		if !ok {
			return addressExpected
		}
		*field(s) = a
		return ""
	}
}

func setKey(s *Settings, raw json.RawMessage) string {
	const expected = `at least 16 characters, or {"file": PATH} naming a file that holds them`
	if json.Unmarshal(raw, &s.Key) != nil {
		var source struct {
			File string `json:"file"`
		}
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if d.Decode(&source) != nil || source.File == "" {
			return expected
		}
		data, err := os.ReadFile(s.resolve(source.File))
		if err != nil {
			return "a readable key file"
		}
		s.Key = strings.TrimSpace(string(data))
	}
	if len(s.Key) < minKeyBytes || strings.ContainsAny(s.Key, " \t\r\n") {
		return expected
	}
	return ""
}

func setProfile(s *Settings, raw json.RawMessage) string {
	if json.Unmarshal(raw, &s.Profile) != nil || (s.Profile != Fast && s.Profile != Thrifty) {
		return `"fast" or "thrifty"`
	}
	return ""
}

func setLevel(s *Settings, raw json.RawMessage) string {
	var text string
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	err := json.Unmarshal(raw, &text)
	level, ok := levels[text]
	if err != nil || !ok {
		return `"debug", "info" or "error"`
	}
	s.Log.Level = level
	return ""
}

func setSample(s *Settings, raw json.RawMessage) string {
	if json.Unmarshal(raw, &s.Log.Sample) != nil || s.Log.Sample < 0 || s.Log.Sample > maxSample {
		return "a whole number from 0 (no success lines) to 1000000"
	}
	return ""
}

// setDuration sets a time from least to most; expected describes it to the operator.
func setDuration(field func(*Settings) *time.Duration, least, most time.Duration, expected string) func(*Settings, json.RawMessage) string {
	return func(s *Settings, raw json.RawMessage) string {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			return expected
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < least || d > most {
			return expected
		}
		*field(s) = d
		return ""
	}
}

// setNumber sets a number from 0 to most.
func setNumber(field func(*Settings) *float64, most float64) func(*Settings, json.RawMessage) string {
	return func(s *Settings, raw json.RawMessage) string {
		if json.Unmarshal(raw, field(s)) != nil || *field(s) < 0 || *field(s) > most {
			return fmt.Sprintf("a number from 0 to %.0f", most)
		}
		return ""
	}
}

func setRolloutShare(s *Settings, raw json.RawMessage) string {
	if v := &s.Rollouts.Share; json.Unmarshal(raw, v) != nil || *v <= 0 || *v > 1 {
		return "a number above 0 and up to 1"
	}
	return ""
}
