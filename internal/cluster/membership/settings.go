package membership

import (
	"errors"
	"fmt"
	"net/netip"
)

// Millis is a time or a duration in milliseconds, with fractions.
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
	Run        RunID
	Start      Millis // Unix; the first incarnation
	Seeds      []Seed // a seed of this member's own name is ignored
	RandomSeed uint64 // seeds every random choice

	// ToleratedPause is a silence after which a member must not be declared dead; 0 or more, by default 4000. A higher
	// value tolerates longer pauses and leaves less of DetectionTimeout for probing: more packets a second.
	ToleratedPause Millis
	// DetectionTimeout is when a member that has died is declared dead by all, at the latest; ToleratedPause + 320 or
	// more, by default 12000. A higher value trades slower detection for fewer packets and fewer false accusations.
	DetectionTimeout Millis
	// MaxMembers bounds the table; 2 to 1,048,576, by default 4096. A higher value admits more members for more memory;
	// members beyond it are rejected and counted.
	MaxMembers int

	Initial *Roster // members held as alive from the start; nil: none
}

const (
	periodsPerDetection = 16      // probe periods in what DetectionTimeout leaves beyond ToleratedPause, see timingOf
	minProbePeriod      = 20.0    // ms; a busy machine's timers are not accurate below it
	maxNameBytes        = 64      // bytes
	maxTableSize        = 1 << 20 // members
)

// Check reports the first fault of the settings, by the key of the operator's file.
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
	if least := s.ToleratedPause + periodsPerDetection*minProbePeriod; s.DetectionTimeout < least {
		return fmt.Errorf("membership.detect-within: want at least bear-pause and %g ms, %g ms, got %g ms",
			periodsPerDetection*minProbePeriod, least, s.DetectionTimeout)
	}
	if s.MaxMembers < 2 || s.MaxMembers > maxTableSize {
		return fmt.Errorf("membership.most-members: want 2 to %d, got %d", maxTableSize, s.MaxMembers)
	}
	if err := checkSeeds(s.Seeds); err != nil {
		return err
	}
	if len(s.Seeds) > s.MaxMembers {
		return fmt.Errorf("membership.seeds: %d, more than most-members, %d", len(s.Seeds), s.MaxMembers)
	}
	return nil
}

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
			return fmt.Errorf("%s.name: %q comes twice", key, seed.Name)
		}
		if addresses[seed.Address] {
			return fmt.Errorf("%s.address: %q comes twice", key, seed.Address)
		}
		names[seed.Name] = true
		addresses[seed.Address] = true
	}
	return nil
}

// Check reports what is wrong with a name.
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

// checkAddress accepts numeric addresses only: a host name would have to be resolved, and any sender of a packet could
// cause such requests.
func checkAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() || at.Addr().Zone() != "" {
		return fmt.Errorf("want ip:port, got %q", address)
	}
	return nil
}

// timing holds the detector's intervals, derived from the two durations that an operator sets.
type timing struct {
	period         Millis // between two probes
	directTimeout  Millis // of a ping, before others are asked to ping
	gossipInterval Millis // between two gossip rounds
	minSuspicion   Millis // timeout of a suspicion that enough others confirm
	maxSuspicion   Millis // timeout of a suspicion that nobody confirms
	syncInterval   Millis // between two digests
	forgetAfter    Millis // until a member that is dead or left is dropped from the table
}

// timingOf divides what DetectionTimeout leaves beyond ToleratedPause into 16 periods. Eight are for the first probe to
// meet the dead member: the other members probe in random order, so that none of them probes it within j periods with
// probability exp(-j). Two are for that probe and the next to fail, five for the suspicion beyond the tolerated pause,
// one for the dissemination of the death.
func timingOf(s *Settings) timing {
	period := (s.DetectionTimeout - s.ToleratedPause) / periodsPerDetection
	return timing{
		period:         period,
		directTimeout:  period / 3,
		gossipInterval: period / 4,
		minSuspicion:   s.ToleratedPause + period,
		maxSuspicion:   s.ToleratedPause + 5*period,
		syncInterval:   periodsPerDetection * period,
		forgetAfter:    10 * s.DetectionTimeout,
	}
}
