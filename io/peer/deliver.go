package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

const (
	outboxMessages = 4096 // older messages are dropped beyond this; the protocol resends what matters
	deliverTimeout = 3 * time.Second
	clockAge       = time.Minute           // an older answer says nothing about a clock any more
	retryDelay     = 50 * time.Millisecond // pause after a failed delivery, so that a dead peer costs little
)

// Courier carries agreement messages to the other replicas, one ordered queue per replica.
type Courier struct {
	clients *Clients
	address func(replica string) (netip.AddrPort, bool)
	log     logr.Logger
	stop    context.CancelFunc
	ctx     context.Context
	wait    sync.WaitGroup
	mu      sync.Mutex
	queues  map[string]chan agreement.Message
	clocks  map[string]clock // by replica name
}

// clock is what another replica's clock showed, and when.
type clock struct {
	shown time.Time
	heard time.Time
}

// NewCourier returns a courier; address maps a replica identity to its peer listener.
func NewCourier(clients *Clients, address func(string) (netip.AddrPort, bool), log logr.Logger) *Courier {
	ctx, stop := context.WithCancel(context.Background())
	return &Courier{
		clients: clients,
		address: address,
		log:     log,
		ctx:     ctx,
		stop:    stop,
		queues:  map[string]chan agreement.Message{},
		clocks:  map[string]clock{},
	}
}

// Send queues a message for its recipient and never blocks; a full queue drops the message.
func (c *Courier) Send(m agreement.Message) {
	select {
	case c.queue(m.To) <- m:
	default:
		c.log.V(1).Info("agreement message dropped", "to", m.To, "reason", "queue full")
	}
}

// Close stops all deliveries and waits for them.
func (c *Courier) Close() {
	c.stop()
	c.wait.Wait()
}

func (c *Courier) queue(to string) chan agreement.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[to]
	if ok {
		return q
	}
	q = make(chan agreement.Message, outboxMessages)
	c.queues[to] = q
	c.wait.Go(func() { c.drain(to, q) })
	return q
}

func (c *Courier) drain(to string, q chan agreement.Message) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-q:
			batch := []*wire.LogMessage{Encode(m)}
			for range len(q) {
				batch = append(batch, Encode(<-q))
			}
			c.deliver(to, batch)
		}
	}
}

func (c *Courier) deliver(to string, batch []*wire.LogMessage) {
	address, ok := c.address(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, deliverTimeout)
	defer cancel()
	resp, err := c.clients.At(address).Deliver(ctx, connect.NewRequest(&rpc.DeliverRequest{Messages: batch}))
	if err == nil {
		c.noteClock(agreement.Name(to), resp.Msg.GetTime())
		return
	}
	c.log.V(1).Info("agreement messages not delivered", "to", to, "messages", len(batch), "error", err.Error())
	sleep(c.ctx, retryDelay)
}

func (c *Courier) noteClock(name string, ms int64) {
	if ms == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clocks[name] = clock{shown: time.UnixMilli(ms), heard: time.Now()}
}

// Clock returns what the clock of a replica shows now, by its last answer; false when none is recent.
func (c *Courier) Clock(name string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.clocks[name]
	if !ok {
		return time.Time{}, false
	}
	since := time.Since(k.heard)
	return k.shown.Add(since), since < clockAge
}
