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
	maxQueuedMessages = 4096 // messages in the queue of one replica; a full queue drops new ones, which the protocol sends again
	deliverTimeout    = 3 * time.Second
	maxClockAge       = time.Minute           // age from which a clock reading is ignored
	retryDelay        = 50 * time.Millisecond // pause after a failed delivery, so that an unreachable peer costs little
	// snapshotRate is the lowest rate in bytes per second, 1 Mbit/s, at which a whole snapshot is given the time to be packed and to
	// arrive. Pings end the delivery to a peer that does not answer sooner.
	snapshotRate = 128 << 10
)

// Sender sends agreement messages to the other replicas in batches, from one ordered queue per replica.
type Sender struct {
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

// clock is a reading of another replica's clock and the local time at which it arrived.
type clock struct {
	reading time.Time
	readAt  time.Time
}

// NewSender returns a Sender; address returns the peer address of a replica identity, or false when it is not known.
func NewSender(clients *Clients, address func(string) (netip.AddrPort, bool), log logr.Logger) *Sender {
	ctx, stop := context.WithCancel(context.Background())
	return &Sender{
		clients: clients,
		address: address,
		log:     log,
		ctx:     ctx,
		stop:    stop,
		queues:  map[string]chan agreement.Message{},
		clocks:  map[string]clock{},
	}
}

// Send queues a message for its recipient without blocking; it drops the message if the queue is full.
func (s *Sender) Send(m agreement.Message) {
	select {
	case s.queue(m.To) <- m:
	default:
		s.log.V(1).Info("agreement message dropped", "to", m.To, "reason", "queue full")
	}
}

// Close cancels all deliveries and waits until they have ended.
func (s *Sender) Close() {
	s.stop()
	s.wait.Wait()
}

func (s *Sender) queue(to string) chan agreement.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[to]
	if ok {
		return q
	}
	q = make(chan agreement.Message, maxQueuedMessages)
	s.queues[to] = q
	s.wait.Go(func() { s.deliverQueue(to, q) })
	return q
}

func (s *Sender) deliverQueue(to string, q chan agreement.Message) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-q:
			batch := []*wire.LogMessage{Encode(m)}
			for range len(q) {
				batch = append(batch, Encode(<-q))
			}
			s.deliver(to, batch)
		}
	}
}

func (s *Sender) deliver(to string, batch []*wire.LogMessage) {
	address, ok := s.address(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, deliverTime(batch))
	defer cancel()
	resp, err := s.clients.At(address).Deliver(ctx, connect.NewRequest(&rpc.DeliverRequest{Messages: batch}))
	if err == nil {
		s.recordClock(agreement.Name(to), resp.Msg.GetTime())
		return
	}
	s.log.V(1).Info("agreement messages not delivered", "to", to, "messages", len(batch), "error", err.Error())
	sleep(s.ctx, retryDelay)
}

// deliverTime returns how long a batch may take: longer with a snapshot, which would otherwise begin again for ever on a thin link.
func deliverTime(batch []*wire.LogMessage) time.Duration {
	limit := deliverTimeout
	for _, m := range batch {
		limit += time.Duration(len(m.GetSnapshot().GetData())) * time.Second / snapshotRate
	}
	return limit
}

func (s *Sender) recordClock(name string, ms int64) {
	if ms == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clocks[name] = clock{reading: time.UnixMilli(ms), readAt: time.Now()}
}

// Clock estimates the current time on another replica's clock from its last response; it returns false without such a
// response, or if that is older than maxClockAge.
func (s *Sender) Clock(name string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.clocks[name]
	if !ok {
		return time.Time{}, false
	}
	since := time.Since(k.readAt)
	return k.reading.Add(since), since < maxClockAge
}
