// Package capacity estimates how many requests an endpoint handles well at once and how long they take there now, from service
// times, refusals, resets and the load that the backend server reports.
package capacity
