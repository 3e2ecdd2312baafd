package config

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/raftlog"
)

// Operator holds the configuration from the operator's file, which complements the platform's file. Each part is off by
// default.
type Operator struct {
	// Admin (admin.listen) is the ip:port of the admin server, a loopback address. Default empty: no admin server.
	Admin string
	// Membership (membership) configures the failure detector among instances. Default nil: off.
	Membership *gossip.Config
	// Policy (policy) configures the replicated log. Default nil: off.
	Policy *raftlog.Config
	// LeaseTTL (takeover.lease) is how long a lease lasts without renewal, at least three times
	// Policy.ElectionTimeout. Default 5 s if takeover is enabled; 0: takeover is off. A higher value tolerates longer
	// outages and delays takeovers.
	LeaseTTL time.Duration
}

// String lists the configuration, one key per line.
func (o *Operator) String() string {
	lines := [][2]string{
		{"admin.listen", cmp.Or(o.Admin, "none")},
		{"membership", "off"},
		{"policy", "off"},
		{"takeover", "off"},
	}
	if o.LeaseTTL > 0 {
		lines[3][1] = fmt.Sprintf("leases of %v", o.LeaseTTL)
	}
	if c := o.Policy; c != nil {
		role := "a server"
		if !c.IsServer() {
			role = "follows"
		}
		lines[2][1] = fmt.Sprintf("%s, %d servers, %v to elect, store in %s", role, len(c.Servers), c.ElectionTimeout, c.Dir)
	}
	if c := o.Membership; c != nil {
		sealing := "packets not sealed"
		if len(c.Codec.Key) > 0 {
			sealing = "packets sealed"
		}
		lines[1][1] = fmt.Sprintf("cluster %q, %s, %d seeds", c.Codec.Cluster, sealing, len(c.Membership.Seeds))
		lines = append(lines, [][2]string{
			{"membership.bind", c.Bind},
			{"membership.advertise", c.Membership.Address},
			{"membership.bear-pause", fmt.Sprintf("%g ms", c.Membership.ToleratedPause)},
			{"membership.detect-within", fmt.Sprintf("%g ms", c.Membership.DetectionTimeout)},
		}...)
	}
	var text strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&text, "%-23s %s\n", line[0], line[1])
	}
	return text.String()
}
