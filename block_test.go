package main

import (
	"net"
	"os"
	"sync"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
)

// Limits of address blocks. A block is the second byte of the addresses of a system.
// Each test process on a machine has a range of blocks.
const (
	// blocksPerRun is the number of blocks of a test process.
	blocksPerRun = 28
	// maxRuns is the number of test processes that can run on one machine.
	maxRuns = 8
)

// blockCount is the number of calls of newBlock in this process.
var blockCount atomic.Int32

// runLock is the socket that reserves the index of this test process.
var runLock *net.UDPConn

// runIndex returns the index of this test process, from 0 to maxRuns-1, which no
// other test process on the machine has. The process reserves it with a socket on an
// address of its first block, which stays open until the process ends.
var runIndex = sync.OnceValues(func() (int, error) {
	var err error
	for i := range maxRuns {
		run := (os.Getpid() + i) % maxRuns
		ip := net.IPv4(127, byte(1+blocksPerRun*run), 254, 254)
		if runLock, err = net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: 9000}); err == nil {
			return run, nil
		}
	}
	return 0, err
})

// newBlock returns the second byte of the addresses of a new system. It differs
// between the first blocksPerRun systems of a process and between test processes
// on one machine.
func newBlock(c *qt.C) int {
	run, err := runIndex()
	c.Assert(err, qt.IsNil, qt.Commentf("more than %d runs of the tests on this machine", maxRuns))
	return int(blockCount.Add(1)-1)%blocksPerRun + 1 + blocksPerRun*run
}
