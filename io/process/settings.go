package process

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// maxSettingsBytes bounds a settings file; the largest sensible one has seven replicas and stays under 4 KiB.
const maxSettingsBytes = 64 << 10

// Profile selects what distribution optimizes.
type Profile string

// Profiles of distribution.
const (
	Fast    Profile = "fast"    // convergence time first
	Thrifty Profile = "thrifty" // control bytes first
)

// Replica is one member of the configured set of control replicas.
type Replica struct {
	Name    string         // name of its node
	Address netip.AddrPort // its peer listener
}

// Listen holds the address of each listener.
type Listen struct {
	Caller   netip.AddrPort // requests of callers
	Local    netip.AddrPort // requests of the backend server beside the node
	Backend  netip.AddrPort // announcements of the backend server beside the node
	Peer     netip.AddrPort // other nodes
	Operator netip.AddrPort // operators
	Metrics  netip.AddrPort // Prometheus
}

// Files names the PEM files of mutual TLS; all are empty when TLS is off.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether TLS is configured.
func (f Files) Enabled() bool { return f.Cert != "" && f.Key != "" && f.CA != "" }

// Log holds the settings of the log.
type Log struct {
	Level  slog.Level
	Sample int // one success line in this many is logged; 0 for none
}

// Settings is one process's checked settings.
type Settings struct {
	File     string // where they were read; empty when built in code
	Name     string
	Region   string
	Domain   string // failure domain
	Data     string // data folder; empty for a diskless node
	Replicas []Replica
	Listen   Listen
	Key      string // shared key; empty for none
	TLS      Files
	Profile  Profile
	Log      Log
	Grace    time.Duration // longest wait for calls in flight at a planned stop
	Move     time.Duration // at a planned stop, callers are served and told to move for this long; 0 for the default
	Link     float64       // of the host, bytes per second; 0 when it is not known
	Memory   int64         // that a process may use, bytes; 0 when it is not known
	Seeds    Seeds         // in place of Replicas where no list of them can be given
	Timing   Timing
	Retries  Retries
}

// Retries bounds the retries of all nodes together for each service, in 10 s; without a percentage each node bounds its own.
type Retries struct {
	Percent int // of the calls
	Slack   int // allowed whatever the calls
}

// Seeds lets nodes find the control replicas where settings cannot list them. The name of a node with a control replica is
// then its IP address, and all peer listeners have the same port.
type Seeds struct {
	Peers   []netip.AddrPort // peer listeners of some nodes with control replicas
	Found   bool             // the first start of the whole mesh: the seeds are the first members
	Replica bool             // this node runs a control replica
	Losses  int              // replicas that may be lost at once with their data
}

// Timing replaces the times of the profile; a field that is 0 leaves the profile's.
type Timing struct {
	Poll    time.Duration // longest wait for a newer version at an upstream
	Slack   time.Duration // on top of Poll before an upstream counts as failed
	Lease   time.Duration // of an announcement
	Stale   time.Duration // age of the last quorum confirmation from which an upstream is avoided
	Backoff time.Duration // longest wait before an upstream that failed is asked again
	Dial    time.Duration // longest time to open a connection for a call
	Swap    time.Duration // longest pause between two versions that follow each other
	Ready   time.Duration // usual time from the start of a process until its version is proven
	// Election and Heartbeat are those of the control replicas; both or none are set.
	Election, Heartbeat time.Duration
	Silence             time.Duration // after which an unanswered connection to another node is given up
}

// Fault is one thing that is wrong with an input file.
type Fault struct {
	File     string
	Field    string // path of the field; empty for the whole file
	Expected string
}

// String formats the fault as one line.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: expected %s", f.File, f.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", f.File, f.Field, f.Expected)
}

// SettingsError reports every fault of a settings file.
type SettingsError struct{ Faults []Fault }

// Error lists the faults, one a line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// IsReplica reports whether the node is listed as a control replica.
func (s *Settings) IsReplica() bool {
	if s.Seeds.Replica {
		return true
	}
	for _, r := range s.Replicas {
		if r.Name == s.Name {
			return true
		}
	}
	return false
}

// Default returns the settings that a file starts from.
func Default() *Settings {
	return &Settings{
		Listen: Listen{
			Local:    netip.MustParseAddrPort("127.0.0.1:7001"),
			Backend:  netip.MustParseAddrPort("127.0.0.1:7002"),
			Peer:     netip.MustParseAddrPort("127.0.0.1:7003"),
			Operator: netip.MustParseAddrPort("127.0.0.1:7004"),
			Metrics:  netip.MustParseAddrPort("127.0.0.1:7005"),
		},
		Profile: Fast,
		Log:     Log{Level: slog.LevelInfo, Sample: 1000},
		Grace:   30 * time.Second,
	}
}

// Load reads and checks a settings file; a *SettingsError holds every fault.
func Load(file string) (*Settings, error) {
	info, err := os.Stat(file)
	if err != nil || !info.Mode().IsRegular() {
		return nil, &SettingsError{Faults: []Fault{{File: file, Expected: "a readable settings file"}}}
	}
	if info.Size() > maxSettingsBytes {
		return nil, &SettingsError{Faults: []Fault{{File: file, Expected: "at most 64 KiB"}}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingsError{Faults: []Fault{{File: file, Expected: "a readable settings file"}}}
	}
	return Parse(file, data)
}

// Parse checks settings in JSON; relative paths are taken from the folder of file.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	s.File = file
	r := &reader{file: file, settings: s}
	r.read(data)
	r.check()
	if len(r.faults) > 0 {
		return nil, &SettingsError{Faults: r.faults}
	}
	return s, nil
}

// resolve returns path as seen from the folder of the settings file.
func (s *Settings) resolve(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.File), path)
}
