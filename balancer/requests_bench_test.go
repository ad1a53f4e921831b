package balancer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"wisteriaweir/member"
	"wisteriaweir/request"
	"wisteriaweir/setting"
)

// BenchmarkHandle measures the handling of a claim holder's heartbeat that
// changes nothing, on one of twelve claim holders.
func BenchmarkHandle(b *testing.B) {
	pool, err := ants.NewPool(1)
	qt.Assert(b, err, qt.IsNil)
	pool.Release() // No task of the queue may run during the benchmark.
	bal := &Balancer{
		cfg:     Config{Setting: setting.Balancer{}},
		pool:    pool,
		started: time.Now(),
		self:    member.Member{Name: "balancer-0", Life: 1, Domain: "west-a"},
	}
	bal.current.Store((&snapshot{}).withMembers(nil))
	r := newRequests(bal)
	var set request.ClaimHolderSet
	set.Number = 1
	for i := range 12 {
		p := request.Peer{Name: fmt.Sprintf("balancer-%d", i), Life: 1}
		set.Members = append(set.Members, request.Member{Peer: p, Domain: "west-a"})
	}
	r.handle(request.ClaimHoldersChanged{Set: set})
	heartbeat := request.ClaimHolderHeartbeat{Set: 1}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.handle(request.MessageReceived{From: set.Members[1+i%11].Peer, Message: heartbeat})
	}
}
