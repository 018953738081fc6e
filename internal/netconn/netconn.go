// Package netconn has what drivers of TCP connections share: dialing through a shortage of this machine, closing
// when a context ends, and looking at a connection's state without reading it. It knows no protocol and decides
// nothing.
package netconn

import (
	"context"
	"net"
)

// CloseOnDone closes a connection when a context ends. The function that it returns cancels that.
func CloseOnDone(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.Close() })
}
