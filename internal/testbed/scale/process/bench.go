package process

import (
	"fmt"
	"net"
	"time"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/proc"
)

// The blocks of loopback addresses that the stand-in platform uses. Who listens at the lock's
// address of a block owns it.
const (
	firstBlock = 16
	lastBlock  = 250
	lockPort   = 9
)

// Third bytes of the addresses of a block, by party. A host's number is spread over two bytes.
const (
	hostsNodes    = 1
	hostsBackends = 64
	hostsMembers  = 128
	hostsEach     = 250 // in one value of the third byte
)

// spans are the parts of one point in real time.
type spans struct {
	warm, load, rest, idle, direct, change time.Duration
}

// fullSpans are those of a sweep: an idle second costs a node a few milliseconds of CPU, and the load
// has sends enough for one of them to be late.
var fullSpans = spans{warm: 1500 * time.Millisecond, load: 6 * time.Second, rest: 500 * time.Millisecond, idle: 3 * time.Second,
	direct: 2 * time.Second, change: 3 * time.Second}

// bench is the surroundings of the real processes of one point: a block of addresses, a folder, a
// reaper, and what listens in this process.
type bench struct {
	deploy *testbed.Deploy
	spans  spans
	guard  *proc.Guard
	block  int
	lock   net.Listener
	fleet  *fleetFile // of nodes that are started alone; nil is none
	ends   []func()   // run in reverse order
}

// newBench makes the surroundings of a point. Its error is an AddressError or the reaper's.
func newBench(deploy *testbed.Deploy, s spans) (*bench, error) {
	b := &bench{deploy: deploy, spans: s}
	for block := firstBlock; block <= lastBlock; block++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", block, lockPort))
		if err == nil {
			b.block, b.lock = block, l
			break
		}
	}
	if b.lock == nil {
		return nil, &AddressError{firstBlock, lastBlock}
	}
	var err error
	if b.guard, err = proc.NewGuard(); err != nil {
		_ = b.lock.Close()
		return nil, err
	}
	return b, nil
}

// address gives a port at a host of a party.
func (b *bench) address(party, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.block, party+host/hostsEach, 1+host%hostsEach, port)
}

// atEnd has f run when the point is over.
func (b *bench) atEnd(f func()) { b.ends = append(b.ends, f) }

// close ends the processes and all that listens here.
func (b *bench) close() {
	for i := len(b.ends) - 1; i >= 0; i-- {
		b.ends[i]()
	}
	_ = b.guard.Close()
	_ = b.lock.Close()
}
