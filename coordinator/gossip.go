package coordinator

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"terntray/config"
	"terntray/scheduler"
)

const (
	maxGossipBytes   = 256  // per message; of a longer one a byte more is read, so that the scheduler refuses it
	maxUnreadGossip  = 1024 // messages waiting for the event loop; further ones are dropped
	gossipErrorPause = 100 * time.Millisecond
	gossipNetwork    = "udp4"
)

// gossip exchanges the scheduler's messages with other co-ordinators as datagrams. Messages that cannot be sent, or
// that arrive while too many are waiting, are lost; the scheduler tolerates that. The methods may be called from any
// goroutine; broadcast and close do nothing on a nil *gossip.
type gossip struct {
	socket *net.UDPConn
	peers  []netip.AddrPort // by scheduler.PeerIndex
	index  map[netip.AddrPort]scheduler.PeerIndex

	unread         atomic.Int64 // messages waiting for the event loop
	unknownSenders atomic.Int64 // messages from senders that are not peers; discarded
}

// openGossip opens the socket. If no peers are configured, it returns nil.
func openGossip(settings config.Gossip) (*gossip, error) {
	if len(settings.Peers) == 0 {
		return nil, nil
	}
	opened := &gossip{index: map[netip.AddrPort]scheduler.PeerIndex{}}
	for index, peer := range settings.Peers {
		addr, err := net.ResolveUDPAddr(gossipNetwork, peer)
		if err != nil {
			return nil, fmt.Errorf("installation: peers.others[%d]: %w", index, err)
		}
		peerAddr := unmapped(addr.AddrPort())
		opened.peers = append(opened.peers, peerAddr)
		opened.index[peerAddr] = scheduler.PeerIndex(index)
	}
	addr, err := net.ResolveUDPAddr(gossipNetwork, settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("installation: peers.listen: %w", err)
	}
	opened.socket, err = net.ListenUDP(gossipNetwork, addr)
	if err != nil {
		return nil, fmt.Errorf("installation: peers.listen: %w", err)
	}
	return opened, nil
}

// unmapped converts an IPv4-mapped IPv6 address to IPv4, so that addresses can be compared.
func unmapped(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// receiveAll reads messages until the socket is closed, and posts a call of handle for each message from a peer.
func (gossip *gossip) receiveAll(post func(func()) bool, handle func(from scheduler.PeerIndex, message []byte)) {
	buffer := make([]byte, maxGossipBytes+1)
	for {
		size, addr, err := gossip.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a persistent error must not use up the CPU
			time.Sleep(gossipErrorPause)
			continue
		}
		from, known := gossip.index[unmapped(addr)]
		if !known {
			gossip.unknownSenders.Add(1)
			continue
		}
		if gossip.unread.Load() >= maxUnreadGossip {
			continue
		}
		message := slices.Clone(buffer[:size])
		gossip.unread.Add(1)
		post(func() {
			gossip.unread.Add(-1)
			handle(from, message)
		})
	}
}

func (gossip *gossip) broadcast(message []byte) {
	if gossip == nil {
		return
	}
	for _, peer := range gossip.peers {
		_, _ = gossip.socket.WriteToUDPAddrPort(message, peer)
	}
}

func (gossip *gossip) close() {
	if gossip != nil {
		_ = gossip.socket.Close()
	}
}

// startGossip opens the socket and starts reading from it, if the installation file names peers.
func (c *Coordinator) startGossip(in config.Gossip) error {
	opened, err := openGossip(in)
	if opened == nil {
		return err
	}
	c.gossip = opened
	c.drivers.Go(func() { opened.receiveAll(c.loop.Post, c.gossipReceived) })
	return nil
}

func (c *Coordinator) gossipReceived(from scheduler.PeerIndex, message []byte) {
	if err := c.scheduler.GossipReceived(c.loop.Now(), from, message); err != nil {
		c.counts.MalformedGossip++
		c.logLimited("event=malformed_gossip cause=%q", err)
		return
	}
	c.counts.GossipReceived++
}

// Broadcast implements scheduler.Host.
func (c *Coordinator) Broadcast(message []byte) { c.gossip.broadcast(message) }
