// Package standin provides a fake backend server for the demo and for tests. It announces itself to a node, counts the runs of
// each idempotency key, lets clients verify that an answer belongs to their request, and injects faults on request.
package standin
