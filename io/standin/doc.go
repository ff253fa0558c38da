// Package standin is a stand-in backend server for the demo and for tests: it announces itself, counts how often each
// idempotency key ran, answers so that a client can check that the answer belongs to its request, and fails as told.
package standin
