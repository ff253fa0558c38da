// Package process holds what all parts of a process share: settings, logging, metrics, listeners with limits, TLS and signals.
package process
