// Package notice reads and keeps what endpoints state about themselves in their answers: a rate limit, and that they leave.
package notice
