// Package retry decides whether a failed call is tried again, and keeps retries within a budget.
package retry
