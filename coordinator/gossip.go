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
	maxGossipBytes   = 256  // of a message; one byte more is read, so that the scheduler refuses longer ones
	maxUnreadGossip  = 1024 // messages that wait for the event loop; further ones are dropped, as any may be lost
	gossipErrorPause = 100 * time.Millisecond
	gossipNetwork    = "udp4"
)

// gossip carries the scheduler's messages between co-ordinators as datagrams. A message that cannot be sent, or
// comes while too many wait, is lost; the scheduler expects that. Its methods may be called from any goroutine; a
// nil one sends nothing.
type gossip struct {
	socket *net.UDPConn
	peers  []netip.AddrPort // by scheduler.PeerIndex
	index  map[netip.AddrPort]scheduler.PeerIndex

	unread         atomic.Int64 // messages that wait for the event loop
	unknownSenders atomic.Int64 // messages from elsewhere so far, which nobody reads
}

// openGossip opens the socket. Without peers there is none, and it returns nil.
func openGossip(in config.Gossip) (*gossip, error) {
	if len(in.Peers) == 0 {
		return nil, nil
	}
	opened := &gossip{index: map[netip.AddrPort]scheduler.PeerIndex{}}
	for index, peer := range in.Peers {
		addr, err := net.ResolveUDPAddr(gossipNetwork, peer)
		if err != nil {
			return nil, fmt.Errorf("installation: peers.others[%d]: %w", index, err)
		}
		peerAddr := unmapped(addr.AddrPort())
		opened.peers = append(opened.peers, peerAddr)
		opened.index[peerAddr] = scheduler.PeerIndex(index)
	}
	addr, err := net.ResolveUDPAddr(gossipNetwork, in.Listen)
	if err != nil {
		return nil, fmt.Errorf("installation: peers.listen: %w", err)
	}
	opened.socket, err = net.ListenUDP(gossipNetwork, addr)
	if err != nil {
		return nil, fmt.Errorf("installation: peers.listen: %w", err)
	}
	return opened, nil
}

// unmapped gives an address the one form in which addresses can be compared.
func unmapped(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// receiveAll posts the handling of each peer's messages until the socket is closed.
func (gossip *gossip) receiveAll(post func(func()) bool, handle func(from scheduler.PeerIndex, message []byte)) {
	buffer := make([]byte, maxGossipBytes+1)
	for {
		size, addr, err := gossip.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an error that comes again at once must not use up the CPU
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

// startGossip opens the socket, where the installation file names peers, and reads until it is closed.
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
