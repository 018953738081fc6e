package soak

import (
	"fmt"
	"os"
)

// anyPort returns the address of any free port on a loopback address of this process alone. A replica or co-ordinator that is
// down for a while has to get its port back: on the usual loopback address, an outgoing connection or another program could
// take it.
func anyPort() string {
	const maxByte = 0xff
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16%maxByte, pid>>8&maxByte, 1+pid%(maxByte-1))
}
