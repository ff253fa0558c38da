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
}

// NewCourier returns a courier; address maps a replica identity to its peer listener.
func NewCourier(clients *Clients, address func(string) (netip.AddrPort, bool), log logr.Logger) *Courier {
	ctx, stop := context.WithCancel(context.Background())
	return &Courier{clients: clients, address: address, log: log, ctx: ctx, stop: stop, queues: map[string]chan agreement.Message{}}
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
	_, err := c.clients.At(address).Deliver(ctx, connect.NewRequest(&rpc.DeliverRequest{Messages: batch}))
	if err == nil {
		return
	}
	c.log.V(1).Info("agreement messages not delivered", "to", to, "messages", len(batch), "error", err.Error())
	select {
	case <-c.ctx.Done():
	case <-time.After(retryDelay):
	}
}
