// Package operator is the HTTP+JSON API for operators: its server, its client and the messages between them.
package operator
