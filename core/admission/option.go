package admission

// Option changes a default of New: one slot, a queue of twice the slots, an adaptive limit and strict priority.
type Option func(*Gate)

// WithSlots sets the maximum number of running calls; a number below 1 sets 1.
func WithSlots(n int) Option { return func(g *Gate) { g.slots = max(n, 1) } }

// WithQueue sets the maximum number of queued calls; the default is twice the slots, also after Resize.
func WithQueue(n int) Option { return func(g *Gate) { g.maxQueue = max(n, 0) } }

// WithConnections sets the maximum number of open connections; the default, 0, is no maximum. The maximum also bounds the slots.
func WithConnections(n int) Option { return func(g *Gate) { g.maxConnections = max(n, 0) } }

// WithFixedLimit disables the adaptive limit, for a backend server whose concurrent calls do not slow each other down: a lower
// limit would only reduce its throughput.
func WithFixedLimit() Option { return func(g *Gate) { g.limit.fixed = true } }

// WithSingleCaller treats all callers as one, for services where caller names do not identify the callers.
func WithSingleCaller() Option { return func(g *Gate) { g.ignoreCallers = true } }

// WithShares gives each priority a share of the slots under contention: a higher priority is served more often, but none
// starves, and nested calls are served first. The default is strict priority.
func WithShares() Option { return func(g *Gate) { g.sharesByPriority = true } }
