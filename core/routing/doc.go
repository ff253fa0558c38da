// Package routing chooses the endpoint of a service for each call from local observation, locality and load hints.
package routing
