package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Limits of a configuration. The counts are ten times the design size, so that the output of a faulty generator is refused
// before it fills the memory of every node.
const (
	MaxName        = 64               // bytes in a name
	MaxServices    = 2_200            // services in the register
	MaxDomains     = 256              // failure domains in the register
	MaxSets        = 64               // rule sets in a configuration
	MaxRules       = 4_400            // routes in all sets together; the same for limits and for drains
	MaxSlots       = 100_000          // slots of an endpoint
	MaxConnections = 1_000_000        // connections of an endpoint
	MaxPriority    = 9                // highest priority of a route
	MaxRetries     = 3                // retries of a route
	MaxDeadline    = 5 * time.Minute  // longest deadline of a route
	MinDeadline    = time.Millisecond // shortest deadline of a route
	MaxSplits      = 16               // services that share the requests of one route
	MaxWeight      = 1_000_000        // weight of one service of a route
	MaxAttempts    = 100              // attempts of one request
	MaxBody        = 1 << 40          // bytes in a request's body
	MaxCustomers   = 10_000           // customers in a configuration
	MaxKeys        = 20_000           // API keys of all customers together
	MaxKey         = 256              // bytes in an API key
)

const expectedName = "a name of 1 to 64 lower-case letters, digits, '-', '_' or '.', beginning with a letter or digit"

// ValidName reports whether a name may be part of a key: 1 to MaxName lower-case letters, digits, '-', '_' or '.', of which the first
// is a letter or digit.
func ValidName(name string) bool {
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return name != "" && len(name) <= MaxName
}

// Validate checks a register, all rule sets, the references between them, the bounds and the customers; *InvalidError lists the faults.
func Validate(c *wire.Content) error {
	var f faults
	checkRegister(&f, c.GetRegister())
	checkRules(&f, c.GetSets())
	checkReferences(&f, c)
	checkBounds(&f, c.GetBounds())
	checkCustomers(&f, c.GetCustomers())
	return f.err()
}

func checkRegister(f *faults, r *wire.Register) {
	if size := proto.Size(r); size > MaxFile {
		f.add("register", "at most %d bytes, not %d", MaxFile, size)
	}
	if len(r.GetServices()) > MaxServices || len(r.GetDomains()) > MaxDomains {
		f.add("register", "at most %d services and %d domains", MaxServices, MaxDomains)
	}
	serviceNames := make(nameOrigins)
	for _, s := range r.GetServices() {
		key := KeyOf(s)
		serviceNames.check(f, key, s.GetName(), "the register")
		f.checkMaximum(key+".slots", s.GetSlots(), MaxSlots)
		f.checkMaximum(key+".connections", s.GetConnections(), MaxConnections)
		if s.GetSlots() == 0 {
			f.add(key+".slots", "1 or more")
		}
		if s.GetConnections() == 0 {
			f.add(key+".connections", "1 or more")
		}
	}
	domainNames := make(nameOrigins)
	for _, d := range r.GetDomains() {
		domainNames.check(f, KeyOf(d), d.GetName(), "the register")
		if !ValidName(d.GetRegion()) {
			f.add(KeyOf(d)+".region", expectedName)
		}
	}
}

// nameOrigins maps each name to the place of its first use, the register or a rule set.
type nameOrigins map[string]string

func (n nameOrigins) check(f *faults, key, name, where string) {
	if !ValidName(name) {
		f.add(key+".name", expectedName)
	}
	if first, repeated := n[name]; repeated {
		f.add(key+".name", "a unique name, not one used in both %s and %s", first, where)
		return
	}
	n[name] = where
}

func (f *faults) checkMaximum(field string, value, limit uint32) {
	if value > limit {
		f.add(field, "at most %d, not %d", limit, value)
	}
}

// checkRules checks the number and size of the sets, the number of their rules, and each rule by itself. Names must be unique over
// all sets, and routes must not overlap.
func checkRules(f *faults, sets []*wire.RuleSet) {
	if len(sets) > MaxSets {
		f.add("rules", "at most %d sets", MaxSets)
	}
	if tooManyRules(sets) {
		// The checks below compare rules with each other, so too many rules are refused first.
		f.add("rules", "at most %d routes, limits and drains each", MaxRules)
		return
	}
	setNames := make(nameOrigins)
	routes, limits, drains := make(nameOrigins), make(nameOrigins), make(nameOrigins)
	overlaps := make(map[string][]*wire.Route)
	for _, s := range sets {
		where := "rules/" + s.GetSet()
		setNames.check(f, where, s.GetSet(), "the rules")
		if size := proto.Size(s); size > MaxFile {
			f.add(where, "at most %d bytes, not %d", MaxFile, size)
		}
		for _, r := range s.GetRoutes() {
			key := where + "/" + KeyOf(r)
			routes.check(f, key, r.GetName(), where)
			checkRoute(f, key, r)
			checkOverlap(f, key, r, overlaps)
		}
		for _, l := range s.GetLimits() {
			key := where + "/" + KeyOf(l)
			limits.check(f, key, l.GetName(), where)
			f.checkMaximum(key+".slots", l.GetSlots(), MaxSlots)
			f.checkMaximum(key+".connections", l.GetConnections(), MaxConnections)
			if l.GetSlots() == 0 && l.GetConnections() == 0 {
				f.add(key, "slots or connections above 0")
			}
		}
		for _, d := range s.GetDrains() {
			key := where + "/" + KeyOf(d)
			drains.check(f, key, d.GetName(), where)
			checkDrain(f, key, d)
		}
	}
}

func tooManyRules(sets []*wire.RuleSet) bool {
	routes, limits, drains := 0, 0, 0
	for _, s := range sets {
		routes += len(s.GetRoutes())
		limits += len(s.GetLimits())
		drains += len(s.GetDrains())
	}
	return max(routes, limits, drains) > MaxRules
}

func checkRoute(f *faults, key string, r *wire.Route) {
	if (r.GetService() == "") == (len(r.GetSplits()) == 0) {
		f.add(key+".service", "the name of a service, or splits in its place")
	}
	checkSplits(f, key, r.GetSplits())
	f.checkMaximum(key+".attempts", r.GetAttempts(), MaxAttempts)
	if !validHost(r.GetHost()) {
		f.add(key+".host", "a host name or IP address in lower case without a port, or empty for any")
	}
	if !validPath(r.GetPath()) {
		f.add(key+".path", "a path prefix such as /passes or /passes/, with no empty, '.' or '..' segment")
	}
	for i, m := range r.GetMethods() {
		if !validMethod(m) {
			f.add(key+".methods", "methods in upper case, not %q", m)
		}
		if slices.Contains(r.GetMethods()[:i], m) {
			f.add(key+".methods", "each method only once; %s is repeated", m)
		}
	}
	f.checkMaximum(key+".priority", r.GetPriority(), MaxPriority)
	f.checkMaximum(key+".retries", r.GetRetries(), MaxRetries)
	if !r.GetIdempotent() && r.GetRetries() > 0 {
		f.add(key+".retries", "0, since the route is not idempotent")
	}
	if d := r.GetDeadline(); d < MinDeadline.Milliseconds() || d > MaxDeadline.Milliseconds() {
		f.add(key+".deadline", "a time from %v to %v", MinDeadline, MaxDeadline)
	}
}

func checkSplits(f *faults, key string, splits []*wire.Split) {
	if len(splits) == 0 {
		return
	}
	if len(splits) > MaxSplits {
		f.add(key+".splits", "at most %d services", MaxSplits)
	}
	total := uint32(0)
	for _, s := range splits {
		f.checkMaximum(key+".splits", s.GetWeight(), MaxWeight)
		total += min(s.GetWeight(), MaxWeight)
	}
	if total == 0 {
		f.add(key+".splits", "at least one weight above 0")
	}
}

func checkBounds(f *faults, b *wire.Bounds) {
	if b == nil {
		return
	}
	if b.GetName() != CallerBounds {
		f.add("bounds.name", "%s", CallerBounds)
	}
	if b.GetBody() > MaxBody {
		f.add("bounds.body", "at most %d bytes", MaxBody)
	}
	if b.GetReading() < 0 || b.GetIdle() < 0 {
		f.add("bounds", "times of 0 or more")
	}
}

func validMethod(m string) bool {
	for i := range len(m) {
		if m[i] < 'A' || m[i] > 'Z' {
			return false
		}
	}
	return m != "" && len(m) <= MaxName
}

func validHost(host string) bool {
	if host == "" {
		return true
	}
	if a, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return a.Is4() && host == a.String() || a.Is6() && host == "["+a.String()+"]"
	}
	if len(host) > 253 {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !ValidName(label) {
			return false
		}
	}
	return true
}

func validPath(path string) bool {
	if path == "/" {
		return true
	}
	if len(path) > 1024 || !strings.HasPrefix(path, "/") {
		return false
	}
	for segment := range strings.SplitSeq(strings.TrimSuffix(path[1:], "/"), "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsAny(segment, "?# \t\r\n\x00") {
			return false
		}
	}
	return true
}

// checkOverlap reports each route in seen that has the host, the path and a method of r, and adds r to seen. A route without methods
// allows all methods.
func checkOverlap(f *faults, key string, r *wire.Route, seen map[string][]*wire.Route) {
	hostAndPath := r.GetHost() + " " + r.GetPath()
	for _, o := range seen[hostAndPath] {
		shared := len(o.GetMethods()) == 0 || len(r.GetMethods()) == 0
		for _, m := range r.GetMethods() {
			shared = shared || slices.Contains(o.GetMethods(), m)
		}
		if shared {
			f.add(key, "no overlap with route %s (same host, path and method)", o.GetName())
		}
	}
	seen[hostAndPath] = append(seen[hostAndPath], r)
}

func checkDrain(f *faults, key string, d *wire.Drain) {
	if d.GetService() == "" && d.GetDomain() == "" && d.GetEndpoint() == "" {
		f.add(key, "at least one of service, domain and endpoint")
	}
	if d.GetEndpoint() != "" && !ValidName(d.GetEndpoint()) {
		f.add(key+".endpoint", expectedName)
	}
}

// checkReferences checks that the services and failure domains named in rules exist in the register, and that each split and limit
// names a service.
func checkReferences(f *faults, c *wire.Content) {
	services := make(map[string]bool)
	for _, s := range c.GetRegister().GetServices() {
		services[s.GetName()] = true
	}
	domains := make(map[string]bool)
	for _, d := range c.GetRegister().GetDomains() {
		domains[d.GetName()] = true
	}
	requireService := func(key, service string) {
		if service != "" && !services[service] {
			f.add(key+".service", "a service of the register, which has no %q", service)
		}
	}
	for _, s := range c.GetSets() {
		where := "rules/" + s.GetSet() + "/"
		for _, r := range s.GetRoutes() {
			requireService(where+KeyOf(r), r.GetService())
			for _, p := range r.GetSplits() {
				if p.GetService() == "" {
					f.add(where+KeyOf(r)+".splits", "the name of each service")
				}
				requireService(where+KeyOf(r), p.GetService())
			}
		}
		for _, l := range s.GetLimits() {
			if l.GetService() == "" {
				f.add(where+KeyOf(l)+".service", "the name of a service")
			}
			requireService(where+KeyOf(l), l.GetService())
		}
		for _, d := range s.GetDrains() {
			requireService(where+KeyOf(d), d.GetService())
			if d.GetDomain() != "" && !domains[d.GetDomain()] {
				f.add(where+KeyOf(d)+".domain", "a domain of the register, which has no %q", d.GetDomain())
			}
		}
	}
}
