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

// maxSettingsBytes limits the size of a settings file. A file with seven replicas stays under 4 KiB.
const maxSettingsBytes = 64 << 10

// Profile selects what the distribution of configurations optimizes.
type Profile string

// Profiles of the distribution of configurations.
const (
	Fast    Profile = "fast"    // shortest convergence time
	Thrifty Profile = "thrifty" // fewest control bytes
)

// Replica is one of the configured control replicas.
type Replica struct {
	Name    string         // name of the replica's node
	Address netip.AddrPort // address of the node's peer listener
}

// Listen holds the address of each listener.
type Listen struct {
	Caller   netip.AddrPort // listener for requests of callers
	Local    netip.AddrPort // listener for requests of local backend servers
	Backend  netip.AddrPort // listener for announcements of local backend servers
	Peer     netip.AddrPort // listener for other nodes
	Operator netip.AddrPort // listener for operators
	Metrics  netip.AddrPort // listener from which Prometheus reads metrics
}

// TLSFiles names the PEM files for mutual TLS; all are empty if TLS is off.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Cert != "" && f.Key != "" && f.CA != "" }

// Log holds the settings for logging.
type Log struct {
	Level  slog.Level
	Sample int // calls for one logged success; 0 logs no success
}

// Settings holds the validated settings of one process.
type Settings struct {
	File        string // path of the settings file; empty if the settings are built in code
	Name        string
	Region      string
	Domain      string // failure domain
	Data        string // data folder; empty for a diskless node
	Replicas    []Replica
	Listen      Listen
	Key         string // shared key; empty for none
	TLS         TLSFiles
	Profile     Profile
	Log         Log
	Grace       time.Duration // longest wait for calls in flight at a planned stop
	CloseNotice time.Duration // how long callers are served and told to reconnect elsewhere at a planned stop; 0 for the default
	Link        float64       // bandwidth of the host's link, in bytes per second; 0 if unknown
	Memory      int64         // memory that the process may use, in bytes; 0 if unknown
	Seeds       Seeds         // used if Replicas is empty
	Timing      Timing
	Retries     Retries
	Quota       Quota
	Rollouts    Rollouts
}

// Rollouts limits what a bad release may get in a rollout; a field that is 0 has the default of package rollout.
type Rollouts struct {
	Share    float64       // part of all requests from the order to the end of the duration
	Slack    float64       // requests in addition; used only with Share
	Rollback time.Duration // time after which no request is sent to it any more
}

// Retries limits the retries of all nodes together, for each service and 10 s. If Percent is 0, each node has its own budget.
type Retries struct {
	Percent int // retries allowed, in percent of the calls
	Slack   int // retries allowed in addition, whatever the number of calls
}

// Quota says how far the requests of a customer may exceed its quota: in any sliding window of length Window, at most
// (rate x Window + burst) x (1 + Overage) + Slack of them run.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultQuota returns the default bounds of quotas.
func DefaultQuota() Quota { return Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20} }

// Seeds lets nodes find the control replicas where settings cannot list them. A node with a control replica is then named by
// its IP address, and all peer listeners use the same port.
type Seeds struct {
	Peers   []netip.AddrPort // peer listeners of some nodes with control replicas
	Found   bool             // first start of the whole mesh: the seeds become the initial members
	Replica bool             // this node runs a control replica
	Losses  int              // how many replicas may lose their data at the same time
	CatchUp time.Duration    // time after which a successor must have replaced a lost replica; 0 for the default
}

// Timing overrides the durations of the profile; a field that is 0 keeps the profile's.
type Timing struct {
	Poll         time.Duration // longest wait for a newer version at an upstream
	Slack        time.Duration // time after Poll at which an upstream without an answer counts as failed
	Lease        time.Duration // validity of an announcement without a sign of life from its node
	Stale        time.Duration // age of the last quorum confirmation from which an upstream is tried last
	Backoff      time.Duration // longest wait before a failed upstream is tried again
	Dial         time.Duration // longest time to open a connection for a call
	VersionPause time.Duration // longest pause between two versions in close succession
	Ready        time.Duration // usual time from process start until the version is proven
	// Election and Heartbeat are the timeouts of the control replicas; set both or neither.
	Election, Heartbeat time.Duration
	AckTimeout          time.Duration // longest time that bytes to another node may stay unacknowledged; then the connection closes
}

// Fault is one error in an input file.
type Fault struct {
	File     string
	Field    string // path of the field; empty for the whole file
	Expected string // what the file must contain instead
}

// String formats the fault as one line.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: expected %s", f.File, f.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", f.File, f.Field, f.Expected)
}

// SettingsError holds all faults of a settings file.
type SettingsError struct{ Faults []Fault }

// Error lists the faults, one per line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// IsReplica reports whether the node runs a control replica.
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

// Default returns the default settings.
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
		Quota:   DefaultQuota(),

		Rollouts: Rollouts{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
	}
}

// Load reads and validates a settings file. All faults are returned in one *SettingsError.
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

// Parse reads and validates settings in JSON; all faults are returned in one *SettingsError. Relative paths are resolved from
// the folder of file.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	s.File = file
	r := &settingsReader{file: file, settings: s}
	r.read(data)
	r.check()
	if len(r.faults) > 0 {
		return nil, &SettingsError{Faults: r.faults}
	}
	return s, nil
}

// resolve resolves a relative path from the folder of the settings file.
func (s *Settings) resolve(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.File), path)
}
