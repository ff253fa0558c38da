// Package shutdown decides which work may still begin during a planned stop, whose end is known from its first moment.
package shutdown
