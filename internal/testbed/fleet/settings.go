package fleet

import (
	"time"

	"ottershed/internal/testbed/platform"
)

// Settings say which fleet is started.
type Settings struct {
	Dir       string             // existing directory for the instances' files, logs and stores
	Program   string             // path of the balancer
	Env       []string           // added to the environment of each instance
	Clocks    []string           // of the instances in turn, such as "-1h 1.1" (see clock.TestbedEnv); none: exact clocks
	Instances int                // 1 to 200
	Seed      uint64             // of the faults and of the instances' own random choices
	Platform  *platform.Platform // that all instances work with

	ToleratedPause   time.Duration // for which a member may stop without being declared dead; longer detects more slowly
	DetectionTimeout time.Duration // within which a death is to be detected; shorter costs more probes
	Seeds            int           // the first so many instances are the seeds of membership; 0: all
	Key              string        // that packets and streams of the cluster are sealed with; empty: they are not

	Servers         int           // the first so many instances keep the policy's log; 0: no policy
	ElectionTimeout time.Duration // without a message of the leader until another one is elected
	LeaseTTL        time.Duration // of the instances' leases; 0: no takeover
}
