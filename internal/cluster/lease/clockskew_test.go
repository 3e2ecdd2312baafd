package lease

import (
	"math/rand/v2"
	"testing"

	"ottershed/internal/cluster/logclock"
)

const skewTTL Millis = 5000

// skewedInstance has a clock of its own, which is off by up to an hour and runs fast or slow by up to a tenth.
type skewedInstance struct {
	offset, rate Millis // ms; ms of its clock a true ms
	session      Session
	dead         bool
}

func (m *skewedInstance) clock(at Millis) Millis { return m.offset + at*m.rate }

// renewalDue tells whether the instance has no lease, or half of it is left at most.
func (m *skewedInstance) renewalDue(sent Millis) bool {
	return m.session.token == 0 || sent >= m.session.trustedUntil-skewTTL/2
}

// skewedCluster is five instances, of which one leads the log, and the log's table.
type skewedCluster struct {
	seed        uint64
	chance      *rand.Rand
	instances   []*skewedInstance
	leader      int
	table       *Table
	clock       logclock.Clock
	at          Millis // true time
	died, taken Millis // when the first instance died and its lease was taken over; below 0: not yet
}

func newSkewedCluster(seed uint64) *skewedCluster {
	s := &skewedCluster{seed: seed, chance: rand.New(rand.NewPCG(seed, 9)), table: NewTable(), died: -1, taken: -1}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s.instances = append(s.instances, &skewedInstance{
			offset: (s.chance.Float64() - 0.5) * 7.2e6, rate: 0.9 + 0.2*s.chance.Float64(),
			session: Session{ID: TrialID(name), Holder: Holder{name, 1}, TTL: skewTTL},
		})
	}
	return s
}

// apply appends a command to the log, stamped by its leader's clock.
func (s *skewedCluster) apply(c *Command) Reply {
	stamp := logclock.Stamp{Process: uint64(s.leader + 1), Uptime: s.instances[s.leader].clock(s.at)}
	return s.table.Apply(c, s.clock.Advance(stamp))
}

// advance moves the time on, changes leaders now and then, and has the first instance die after 20 s.
func (s *skewedCluster) advance() {
	s.at += 20 * s.chance.Float64()
	if s.chance.IntN(50) == 0 {
		s.leader = s.chance.IntN(len(s.instances))
		s.skipDeadLeader()
	}
	if s.died < 0 && s.at > 20_000 {
		s.instances[0].dead = true
		s.died = s.at
		s.leader = 0
		s.skipDeadLeader()
	}
}

func (s *skewedCluster) skipDeadLeader() {
	for s.instances[s.leader].dead {
		s.leader = s.chance.IntN(len(s.instances))
	}
}

// step has a random instance keep its lease, or try to take over another's.
func (s *skewedCluster) step(t *testing.T) {
	t.Helper()
	instance := s.instances[s.chance.IntN(len(s.instances))]
	if instance.dead {
		return
	}
	sent := instance.clock(s.at)
	if s.chance.IntN(4) > 0 && instance.renewalDue(sent) {
		command := instance.session.Next(nil)
		s.at += 50 * s.chance.Float64() // on the way
		reply := s.apply(&command)
		if instance.session.HandleReply(&command, sent, &reply) {
			t.Fatalf("seed %d: %s lost its lease at %.0f ms: %s", s.seed, instance.session.Holder.Name, s.at, reply.Rejection)
		}
		return
	}
	victim := s.instances[s.chance.IntN(len(s.instances))]
	if victim != instance {
		s.takeOver(t, instance, victim)
	}
}

// takeOver expects that the victim's lease is granted only if the victim does not rely on it any more.
func (s *skewedCluster) takeOver(t *testing.T, instance, victim *skewedInstance) {
	t.Helper()
	reply := s.apply(&Command{Operation: TakeOver, ID: victim.session.ID, Holder: instance.session.Holder, TTL: skewTTL})
	if reply.Rejection != "" {
		return
	}
	if victim.dead {
		if s.taken < 0 {
			s.taken = s.at
		}
		return
	}
	if victim.session.Valid(victim.clock(s.at)) {
		t.Fatalf("seed %d: %s took over at %.0f ms what %s holds by its own clock", s.seed, instance.session.Holder.Name,
			s.at, victim.session.Holder.Name)
	}
	// It expired because its holder had no turn to renew it; give it back.
	s.apply(&Command{Operation: Release, ID: victim.session.ID, Holder: instance.session.Holder, Token: reply.Lease.Token})
	victim.session.token, victim.session.lost = 0, false
}

// With clocks that differ in time and rate and any instance leading the log, no lease is taken over that its holder
// still relies on by its own clock, and a dead instance's lease is taken over soon.
func TestLeasesUnderClockSkew(t *testing.T) {
	for seed := range uint64(300) {
		cluster := newSkewedCluster(seed)
		for cluster.at < 60_000 {
			cluster.advance()
			cluster.step(t)
		}
		if wait := cluster.taken - cluster.died; cluster.taken < 0 || wait > 1.5*skewTTL {
			t.Errorf("seed %d: the dead instance's lease was taken over after %.0f ms", seed, wait)
		}
	}
}
