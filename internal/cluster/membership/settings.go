package membership

import (
	"errors"
	"fmt"
	"net/netip"
)

// Millis is a time or a duration in milliseconds, with fractions. Times are Unix times.
type Millis = float64

// Seed is a member that is contacted to join the cluster.
type Seed struct {
	Name    Name
	Address string // ip:port
}

// Settings configure a detector. All members of a cluster should have the same ToleratedPause and DetectionTimeout.
type Settings struct {
	Name       Name   // 1 to 64 bytes without blanks and control characters
	Address    string // ip:port at which the other members reach this one
	Run        RunID  // identifies this process among those of the same name
	Start      Millis // Unix time of the process's start; the first incarnation
	Seeds      []Seed // members that are contacted to join; an entry with this member's own name is ignored
	RandomSeed uint64 // seed of the random number generator

	// ToleratedPause is the longest silence for which a member must not be declared dead; 0 or more, by default 4000. A
	// higher value tolerates longer pauses and leaves less of DetectionTimeout for probing, which costs more packets per
	// second.
	ToleratedPause Millis
	// DetectionTimeout is the longest time until all members have declared a dead member dead; ToleratedPause + 320 or
	// more, by default 12000. A higher value trades slower detection for fewer packets and fewer false accusations.
	DetectionTimeout Millis
	// MaxMembers is the capacity of the member table, this member included; 2 to 1,048,576, by default 4096. A higher
	// value admits more members and takes more memory. Members beyond it are rejected and counted.
	MaxMembers int

	Initial *Roster // members that are assumed to be alive from the start; nil: none
}

const (
	periodsPerDetection = 16      // probe periods in DetectionTimeout - ToleratedPause, see deriveTiming
	minProbePeriod      = 20.0    // ms; timers of a busy machine are too inaccurate for a shorter period
	maxNameBytes        = 64      // maximum length of a member's name
	maxTableSize        = 1 << 20 // upper limit of MaxMembers
)

// Check validates the settings and returns an error about the first invalid one, which names its key in the operator's
// file.
func (s *Settings) Check() error {
	if err := s.Name.Check(); err != nil {
		return fmt.Errorf("name: %w", err)
	}
	if err := checkAddress(s.Address); err != nil {
		return fmt.Errorf("membership.advertise: %w", err)
	}
	if s.ToleratedPause < 0 {
		return fmt.Errorf("membership.bear-pause: want 0 or more, got %g ms", s.ToleratedPause)
	}
	if minTimeout := s.ToleratedPause + periodsPerDetection*minProbePeriod; s.DetectionTimeout < minTimeout {
		return fmt.Errorf("membership.detect-within: want at least bear-pause + %g ms = %g ms, got %g ms",
			periodsPerDetection*minProbePeriod, minTimeout, s.DetectionTimeout)
	}
	if s.MaxMembers < 2 || s.MaxMembers > maxTableSize {
		return fmt.Errorf("membership.most-members: want 2 to %d, got %d", maxTableSize, s.MaxMembers)
	}
	if err := checkSeeds(s.Seeds); err != nil {
		return err
	}
	if len(s.Seeds) > s.MaxMembers {
		return fmt.Errorf("membership.seeds: want at most most-members (%d), got %d", s.MaxMembers, len(s.Seeds))
	}
	return nil
}

// checkSeeds validates the seeds; names and addresses must be unique.
func checkSeeds(seeds []Seed) error {
	names, addresses := map[Name]bool{}, map[string]bool{}
	for i, seed := range seeds {
		key := fmt.Sprintf("membership.seeds[%d]", i)
		if err := seed.Name.Check(); err != nil {
			return fmt.Errorf("%s.name: %w", key, err)
		}
		if err := checkAddress(seed.Address); err != nil {
			return fmt.Errorf("%s.address: %w", key, err)
		}
		if names[seed.Name] {
			return fmt.Errorf("%s.name: %q is a duplicate", key, seed.Name)
		}
		if addresses[seed.Address] {
			return fmt.Errorf("%s.address: %q is a duplicate", key, seed.Address)
		}
		names[seed.Name] = true
		addresses[seed.Address] = true
	}
	return nil
}

// Check returns an error if a name is not 1 to 64 bytes long or has blanks or control characters.
func (n Name) Check() error {
	if n == "" {
		return errors.New("missing")
	}
	if len(n) > maxNameBytes {
		return fmt.Errorf("want %d bytes at most, got %d", maxNameBytes, len(n))
	}
	for _, r := range n {
		if r <= ' ' || r == 0x7f || r == 0xfffd {
			return fmt.Errorf("want no blanks and no control characters, got %q", string(n))
		}
	}
	return nil
}

// checkAddress accepts numeric addresses only. A host name would have to be resolved, and any sender of a packet could
// trigger DNS lookups.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().Zone() != "" {
		return fmt.Errorf("want ip:port, got %q", address)
	}
	return nil
}

// timing holds the detector's intervals, derived from the two durations that an operator sets.
type timing struct {
	period         Millis // time between two periodic probes
	directTimeout  Millis // wait for the Ack to a ping before other members are asked to ping
	gossipInterval Millis // time between two gossip rounds
	minSuspicion   Millis // timeout of a suspicion with all wanted confirmations, see suspicion
	maxSuspicion   Millis // timeout of a suspicion without confirmations
	syncInterval   Millis // maximum time between two digests
	deadRetention  Millis // how long a dead or left member stays in the table
}

// deriveTiming divides DetectionTimeout - ToleratedPause into 16 periods. Eight are for the first probe that reaches
// the dead member: the other members probe in random order, so the probability that none of them probes it within j
// periods is exp(-j). Two are for that probe and its retry to fail, five for the suspicion beyond the tolerated pause,
// one for the dissemination of the death.
func deriveTiming(s *Settings) timing {
	period := (s.DetectionTimeout - s.ToleratedPause) / periodsPerDetection
	return timing{
		period:         period,
		directTimeout:  period / 3,
		gossipInterval: period / 4,
		minSuspicion:   s.ToleratedPause + period,
		maxSuspicion:   s.ToleratedPause + 5*period,
		syncInterval:   periodsPerDetection * period,
		deadRetention:  10 * s.DetectionTimeout,
	}
}
