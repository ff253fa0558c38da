// Package outcome holds the kinds, codes and typed failures that the system reports to callers.
package outcome
