// Package outcome defines the kinds, codes and typed failures that the mesh reports to callers.
package outcome
