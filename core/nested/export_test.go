package nested

// Sizes returns the numbers of kinds, services and runs that are kept.
func (t *Throttle) Sizes() (kinds, services, runs int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.kinds), len(t.services), len(t.runs)
}
