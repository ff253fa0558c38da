package demo

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healPollInterval = 10 * time.Millisecond // interval at which a dial across a partition checks whether the partition has healed
	dialTimeout      = 2 * time.Second
)

// DataLostError reports a connection that lost data in a partition and is closed after the partition has healed.
type DataLostError struct{}

// Error returns the same text for every lost connection.
func (*DataLostError) Error() string {
	return "connection closed: data was lost during a network partition"
}

// partition tracks the hosts that a silent partition isolates from the others.
type partition struct {
	mu            sync.Mutex
	isolated      map[int]bool   // by host index
	hostByAddress map[string]int // host index by peer address
}

func (c *partition) addHost(i int, a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostByAddress == nil {
		c.hostByAddress = map[string]int{}
	}
	c.hostByAddress[a.String()] = i
}

func (c *partition) isolate(hosts []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = map[int]bool{}
	for _, p := range hosts {
		c.isolated[p] = true
	}
}

// separates reports whether the partition lies between host i and the host at a peer address; false for an unknown address.
func (c *partition) separates(i int, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.hostByAddress[address]
	return ok && c.isolated[i] != c.isolated[j]
}

// dialer returns the function with which the node of host i dials other nodes. A dial across a partition waits, within
// dialTimeout, for the partition to heal.
func (c *partition) dialer(i int) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		separated := func() bool { return c.separates(i, address) }
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for separated() {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(healPollInterval):
			}
		}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, separated: separated}, nil
	}
}

// partitionedConn is a connection that drops data in both directions during a partition.
type partitionedConn struct {
	net.Conn
	separated func() bool
	dataLost  atomic.Bool // whether bytes were dropped, so that the stream cannot continue
}

// Read drops data that arrives during a partition. If data was lost in either direction, the first Read of data after the
// partition has healed closes the connection and fails with *DataLostError.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.separated() {
			c.dataLost.Store(true)
		}
		if !c.dataLost.Load() || err != nil {
			return n, err
		}
		if !c.separated() {
			_ = c.Close()
			return 0, &DataLostError{}
		}
	}
}

// Write drops data during a partition and reports success. If data was lost in either direction, a Write after the partition has
// healed closes the connection and fails with *DataLostError.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.separated() {
		c.dataLost.Store(true)
		return len(p), nil
	}
	if c.dataLost.Load() {
		_ = c.Close()
		return 0, &DataLostError{}
	}
	return c.Conn.Write(p)
}
