// Package host assembles one process from its settings: the control replica where there is one, the proxy, and all listeners.
package host
