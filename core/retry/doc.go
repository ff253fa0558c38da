// Package retry decides whether a failed call is retried and limits retries by budgets.
package retry
