// Package operator is the HTTP+JSON interface of operators: server, client and the messages between them.
package operator
