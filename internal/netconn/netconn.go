// Package netconn contains helpers shared by the drivers of TCP connections: dialing with retries during a shortage
// of local resources, closing when a context ends, and inspecting a connection's state without reading from it. It is
// independent of protocols and makes no decisions.
package netconn

import (
	"context"
	"net"
)

// CloseOnDone closes a connection when a context ends. The function that it returns cancels this.
func CloseOnDone(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.Close() })
}
