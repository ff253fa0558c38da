// Package claim implements the table of claims, which grants each non-idempotent request to at most one attempt at a time.
//
// A claim on (route, key) is free, running or done. These rules keep it to one owner at a time:
//
//   - Acquire grants a free claim to an attempt, whose token becomes the owner. Until the deadline, the owner gets the grant
//     again, because the first answer may have been lost. Other attempts get running. After the deadline, every attempt gets
//     unknown if there is no outcome. After a finish, every attempt gets done. While the claim is not free, an acquire with
//     another fingerprint gets mismatch.
//   - Release by the owner frees the claim and records the owner's token until that attempt's deadline. A delayed duplicate
//     of the acquire carries the same token and deadline. Before the deadline, the duplicate is refused because the token is
//     recorded as released; afterwards, because an attempt whose deadline has passed is never granted. So a released attempt
//     is never granted again, and the number of recorded tokens stays bounded.
//   - Release of a free claim records the token in the same way, if its deadline has not passed. A claimant that does not
//     know whether its acquire arrived can thus make sure that the acquire is never granted.
//   - Finish by the owner stores the outcome once, also after the deadline. A finish or release by another attempt is refused.
package claim
