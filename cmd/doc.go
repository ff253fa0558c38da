// Package cmd holds the command line, one command per file.
package cmd
