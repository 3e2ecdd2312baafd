package fleet

import (
	"time"

	"ottershed/internal/testbed/platform"
)

// Settings defines a fleet.
type Settings struct {
	Dir       string             // existing directory for the files, logs and stores of the instances
	Program   string             // path of the balancer program
	Env       []string           // variables (NAME=value) that are added to the environment of each instance
	Clocks    []string           // values of clock.TestbedEnv, assigned in turn, such as "-1h 1.1"; empty: exact clocks
	Instances int                // 1 to 200
	Seed      uint64             // seed of the faults and of the instances' random choices
	Platform  *platform.Platform // shared by all instances

	ToleratedPause   time.Duration // longest pause that is not declared a death; larger values slow detection
	DetectionTimeout time.Duration // time limit for the detection of a death; smaller values cost more probes
	Seeds            int           // number of instances, from the first, that are membership seeds; 0: all
	Key              string        // authenticates packets and streams of the cluster; empty: no authentication

	Servers         int           // number of instances, from the first, that are voters of the policy log; 0: no policy
	ElectionTimeout time.Duration // time without a message from the leader before an election
	LeaseTTL        time.Duration // TTL of the instances' leases; 0: no takeover
}
