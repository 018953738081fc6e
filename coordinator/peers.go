package coordinator

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"terntray/config"
	"terntray/scheduler"
)

const (
	mostPeerMessage = 256 // bytes, as settings allow; one more is read to tell what is longer
	peerErrorWait   = 100 * time.Millisecond
	mostPeersUnread = 1024 // messages that wait to be read; what comes beyond is dropped, as any may be lost
)

// gossip carries messages between co-ordinators as datagrams. A nil one carries none.
type gossip struct {
	socket *net.UDPConn
	others []netip.AddrPort
	index  map[netip.AddrPort]scheduler.PeerIndex
	unread atomic.Int64

	strangers atomic.Int64 // messages from elsewhere, which nobody reads
}

// checkPeersAndSizes refuses what the installation file says of co-ordinators and sizes if it does not fit the settings.
func (d *Deployment) checkPeersAndSizes(in *config.Config) (err error) {
	weighed, allowed := d.settings["weightKind"], d.settings["bounds.peers"] == "true"
	if len(in.Gossip.Peers) > 0 && !allowed {
		err = errors.New("installation: peers.others: setting bounds.peers allows no messages between co-ordinators")
	}
	if len(in.Sizes) > 0 && weighed != "nominal" && weighed != "rough" && in.Shadow.Settings["weightKind"] == "" {
		err = errors.Join(err, fmt.Errorf("installation: sizes: setting weightKind is %q, wanted nominal or rough", weighed))
	}
	return err
}

// size is how large a replica of a model is beside others, 0 where nothing says it.
func size(in *config.Config, model string) float64 {
	return in.SizeOf(model)
}

// startGossip opens the socket and reads until it is closed.
func (c *Coordinator) startGossip(in config.Gossip) error {
	if len(in.Peers) == 0 {
		return nil
	}
	p := &gossip{index: map[netip.AddrPort]scheduler.PeerIndex{}}
	for n, other := range in.Peers {
		addr, err := net.ResolveUDPAddr("udp4", other)
		if err != nil {
			return fmt.Errorf("installation: peers.others[%d]: %w", n, err)
		}
		at := netip.AddrPortFrom(addr.AddrPort().Addr().Unmap(), addr.AddrPort().Port())
		p.others, p.index[at] = append(p.others, at), scheduler.PeerIndex(n)
	}
	addr, err := net.ResolveUDPAddr("udp4", in.Listen)
	if err == nil {
		p.socket, err = net.ListenUDP("udp4", addr)
	}
	if err != nil {
		return fmt.Errorf("installation: peers.listen: %w", err)
	}
	c.gossip = p
	c.drivers.Go(func() { c.hearPeers(p) })
	return nil
}

func (c *Coordinator) hearPeers(p *gossip) {
	buffer := make([]byte, mostPeerMessage+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // whatever it is, the next reading must not spin on it
			time.Sleep(peerErrorWait)
			continue
		}
		peer, known := p.index[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			p.strangers.Add(1)
			continue
		}
		if p.unread.Load() >= mostPeersUnread {
			continue
		}
		message := append([]byte(nil), buffer[:n]...)
		p.unread.Add(1)
		c.loop.Post(func() {
			p.unread.Add(-1)
			if err := c.scheduler.GossipReceived(c.loop.Now(), peer, message); err != nil {
				c.counts.MalformedGossip++
				c.logLimited("event=bad_peer_message cause=%q", err)
				return
			}
			c.counts.Gossip++
		})
	}
}

// Broadcast carries out decide.Host. A message that cannot go is lost, as any may be.
func (c *Coordinator) Broadcast(message []byte) {
	if c.gossip == nil {
		return
	}
	for _, other := range c.gossip.others {
		_, _ = c.gossip.socket.WriteToUDPAddrPort(message, other)
	}
}

func (p *gossip) close() {
	if p != nil {
		_ = p.socket.Close()
	}
}
