// Package routing chooses an endpoint of a service for each call, by local observations, locality and reported load.
package routing
