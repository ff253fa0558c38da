package quota

import "time"

// Request is what a node sends to the coordinator. It names every customer of which the node holds tokens or needs any.
type Request struct {
	Node        string
	Incarnation uint64
	Number      uint64 // grows with each request of the process, so that a delayed request is recognized
	Seen        uint64 // number of the last response that the node got; 0 for none
	Asks        []Ask
}

// Ask is the part of a Request about one customer.
type Ask struct {
	Customer string
	Waiting  int     // requests that wait for a token
	Need     int     // tokens for these and for requests expected until the next request to the coordinator
	Want     int     // tokens that the node would like to hold, Need included
	Held     int     // unspent tokens
	Returned int     // unspent tokens that the node gives back
	Rate     float64 // granted tokens spent per second, recently
	Promised float64 // rate at which the node may be spending without a coordinator; 0 if the promise has ended
	Total    float64 // sum of the promises to all nodes when Promised was given
}

// Response answers a Request. A Term of 0 means that the replica does not grant: it does not lead, or no majority has confirmed it lately.
type Response struct {
	Term     uint64
	Leader   string // name of the leader, if known
	Number   uint64 // number of this response to the node
	Interval time.Duration
	Grants   []Grant
}

// Grant answers one Ask.
type Grant struct {
	Customer string
	Tokens   int
	Wait     time.Duration // time after which there will be room; 0 unless the customer is over its quota
	Scarce   bool          // some node recently did not get what it needed, so nodes should not hold tokens that they may not need
	Room     bool          // the bucket is half full, so late requests may have tokens too, although the customer was short of them
	Promised float64       // rate at which the node may spend without a coordinator
	Total    float64       // sum of the promises to all nodes
	Sharing  int           // nodes at which the customer is active
}
