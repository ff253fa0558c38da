// Package cmd implements the command line, one command per file.
package cmd
