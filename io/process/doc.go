// Package process holds what every part of a process shares: settings, logging, metrics, limited listeners, TLS and signals.
package process
