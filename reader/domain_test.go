package reader_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/reader"
)

// TestAwaitsDomain guards against a host that is ready before the rest of its failure domain
// after a loss of power, so that routers send its callers to hosts that do not run yet; and
// against hosts that wait although nobody else serves their callers.
func TestAwaitsDomain(t *testing.T) {
	const listedPeers = 5
	member := func(i int, domain string) reader.Member {
		return reader.Member{Name: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, domain[5], byte(i)}), 7720)}
	}
	for _, test := range []struct {
		name         string
		localHeard   int
		remoteUptime time.Duration
		now          time.Duration
		want         bool
	}{
		{"alone, others serve", 0, time.Minute, 100 * time.Millisecond, true},
		{"a third of the domain runs", 1, time.Minute, 100 * time.Millisecond, true},
		{"half of the domain runs", 2, time.Minute, 100 * time.Millisecond, false},
		{"all hosts start", 0, time.Second, 100 * time.Millisecond, false},
		{"others are of a release without uptime", 0, 0, 100 * time.Millisecond, false},
		{"waited long enough", 0, time.Minute, 3 * time.Second, false},
	} {
		c := reader.New(reader.Config{Self: reader.Member{Name: "west-a-0", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.1:7720")}})
		members := []reader.Member{member(1, "west-b")}
		for i := range listedPeers {
			members = append(members, member(i+1, "west-a"))
		}
		c.SetMembers(0, members)
		c.HandleMessage(0, members[0], reader.Heartbeat{Uptime: test.remoteUptime})
		for i := range test.localHeard {
			c.HandleMessage(0, members[i+1], reader.Hello{})
		}
		qt.Check(t, c.AwaitsDomain(test.now), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
