// Package nested decides whether a request may run at an endpoint whose runs call other services: it learns which services the runs
// of each kind call and whether these calls are served, and refuses requests whose calls would be refused.
package nested
