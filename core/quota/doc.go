// Package quota limits the requests of each customer over all nodes together. A Coordinator on the leading replica grants tokens
// from one bucket per customer; a Local at each node spends them, one for each request.
//
// Bound. At any time, the tokens in a customer's bucket plus those that nodes may hold unspent are at most a fixed total (Bounds.total),
// and the bucket accrues at most the customer's rate. So the number of requests that start in a window is at most the total plus the
// rate times the window, however long a token is valid. The coordinator counts a granted token as held until the node reports it spent,
// returns it, or it has expired at the node.
//
// Failures. A node that gets no answer spends at the rate that the coordinator last promised it. The coordinator deducts promised rates
// of silent nodes from what the bucket accrues, for as long as the nodes may use them. Each node also knows the sum of the promises of a
// customer, so that a new coordinator learns from the first node that asks what nodes it has not heard yet may be spending.
package quota
