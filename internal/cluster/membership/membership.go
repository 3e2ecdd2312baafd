// Package membership decides which marshals of a fleet are there. It is a failure detector after SWIM with the
// local health awareness of Lifeguard, without I/O: packets, the time and requests go in, packets to send and changes
// of members' states come out. The adapter that gives it a socket and a clock is internal/cluster/gossip; docs/membership.md
// says what was weighed.
package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
)

// Millis is a time or a span in milliseconds, with fractions.
type Millis = float64

// Name is a member's name: the same after a restart, one member's only.
type Name string

// Incarnation orders what is said of one member. It begins with the Unix milliseconds of the member's start, so that a
// restart is always above what came before, and the member alone raises it, by one, to deny that it is dead.
type Incarnation uint64

// RunID tells two processes of one name apart; drawn at each start.
type RunID uint64

// State is what is held of a member. At one incarnation, the later ones of these win.
type State int

const (
	Alive   State = iota
	Suspect       // somebody got no answer from it, and it has not denied that yet
	Dead          // no denial came in time
	Left          // it said so itself
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "state " + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// MarshalText writes the state as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("want a state of a member, got %q", text)
}

// Update is what one member says of another, or of itself.
type Update struct {
	Name        Name
	Address     string // ip:port where it hears
	State       State
	Incarnation Incarnation
	Run         RunID
	By          Name // who accuses; only where Suspect or Dead
}

// over tells whether u says something newer than was.
func (u *Update) supersedes(was *Update) bool {
	return u.Incarnation > was.Incarnation || u.Incarnation == was.Incarnation && u.State > was.State
}

// Kind is what a packet is for.
type Kind int

const (
	Ping    Kind = iota + 1
	Ack          // the answer to a ping, also handed on by one that was asked to ping
	PingReq      // asks the receiver to ping another
	Nack         // the one that was asked got no answer, but is there itself
	Gossip       // updates only
	Digest       // sums over what the sender holds; asks for what differs
	Records      // the answer: what differs
	kindCount
)

// Packet is one message between members. Every packet tells its sender's incarnation, which is an update by itself.
type Packet struct {
	Kind          Kind
	From          Name
	Address       string // where the sender hears; answers go there
	Incarnation   Incarnation
	Run           RunID
	Seq           uint64 // of a ping; its answers carry it
	Target        Name   // of a ping: who is meant; of a PingReq: who is to be pinged
	TargetAddress string // of a PingReq
	Sums          []uint64
	Updates       []Update
}

// Send is a packet that is to go to an address.
type Send struct {
	To     string
	Packet Packet
}

// Change is a member's new state, or a new run of it.
type Change struct {
	At       Millis
	Previous State // of one that was not known: Dead
	New      bool  // not known before
	Member
}

// Output is what is to be done: it holds until the next call.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Seed is a member that is asked first.
type Seed struct {
	Name    Name
	Address string
}

// Settings are what a detector is told at its start.
type Settings struct {
	Name       Name
	Address    string // where others reach it
	Run        RunID
	Start      Millis // Unix
	Seeds      []Seed // its own entry among them does no harm
	RandomSeed uint64 // seeds all that is drawn

	// BearPause is a silence that must be borne: a member that is back within it is not declared dead.
	ToleratedPause Millis
	// DetectWithin is when a member that has died is declared dead by all, at the latest.
	DetectionTimeout Millis
	MaxMembers       int // beyond, no new ones are taken in

	Initial *Roster // those held as alive from the start on; nil: none
}

const (
	periodsPerDetection = 16   // of probing, in what is left of DetectWithin beyond the pause; see pace
	minProbePeriod      = 20.0 // ms; below, the timers of a busy machine are the noise
	maxNameBytes        = 64   // bytes
)

// Check tells what is wrong with the settings, naming the key of the operator's file.
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
	if s.MaxMembers < 2 || s.MaxMembers > 1<<20 {
		return fmt.Errorf("membership.most-members: want 2 to %d, got %d", 1<<20, s.MaxMembers)
	}
	names, addresses := map[Name]bool{}, map[string]bool{}
	for i, seed := range s.Seeds {
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
		names[seed.Name], addresses[seed.Address] = true, true
	}
	if len(s.Seeds) > s.MaxMembers {
		return fmt.Errorf("membership.seeds: %d, more than most-members, %d", len(s.Seeds), s.MaxMembers)
	}
	return nil
}

// Check tells whether a name can be one.
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

// checkAddress takes numbers only. Danger: a name would have to be looked up, and strangers could have it done at will.
func checkAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() || at.Addr().Zone() != "" {
		return fmt.Errorf("want ip:port, got %q", address)
	}
	return nil
}

// pace is the detector's timing. It follows from the two figures that an operator can know: all parts of a detection
// have to fit between them.
type timing struct {
	period         Millis // between two probes
	directTimeout  Millis // a ping's time before others are asked to ping
	gossipInterval Millis // between two rounds of updates
	minSuspicion   Millis // of a suspicion, where enough others confirm it
	maxSuspicion   Millis // of a suspicion that nobody confirms
	syncInterval   Millis // between two comparisons of all that is held
	forgetAfter    Millis // until one that died or left is dropped
}

// paceOf divides what DetectWithin leaves beyond BearPause into sixteen periods. Eight are for the first probe to meet
// the dead member: each of the others probes all in turn, so that nobody does for j periods has the chance exp(-j).
// Two are for that probe and the next to fail, five for the suspicion beyond the pause, one for word to reach all.
func timingOf(s *Settings) timing {
	t := (s.DetectionTimeout - s.ToleratedPause) / periodsPerDetection
	return timing{
		period: t, directTimeout: t / 3, gossipInterval: t / 4, minSuspicion: s.ToleratedPause + t, maxSuspicion: s.ToleratedPause + 5*t,
		syncInterval: periodsPerDetection * t, forgetAfter: 10 * s.DetectionTimeout,
	}
}
