// Package claim holds the once-only grants to run non-idempotent requests.
//
// A claim on (route, key) is free, running, done or released. The rules that keep it to one owner at a time:
//
//   - Acquire grants a free claim. The same owner gets the grant again while it runs (its answer may have been lost);
//     everybody else gets running, done, mismatch or, after the deadline without an outcome, unknown.
//   - Release by the owner frees the claim and remembers the owner's token until that attempt's own deadline. A delayed
//     duplicate of the acquire carries the same token and deadline: before the deadline the token is known as released,
//     and after it the acquire is refused because an attempt whose deadline has passed is never granted. So a released
//     attempt is never granted again, and what is remembered stays bounded.
//   - Release of a claim that nobody holds records the token in the same way. A claimant that gave up on an acquire in
//     doubt can thus prove that the acquire will never be granted.
//   - Finish stores the outcome once, also after the deadline. A finish or release by another owner is refused.
package claim
