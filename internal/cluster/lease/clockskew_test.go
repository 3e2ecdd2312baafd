package lease

import (
	"math/rand/v2"
	"testing"

	"ottershed/internal/cluster/logclock"
)

const skewTTL Millis = 5000

// skewedInstance is an instance whose local clock differs from true time by up to an hour and whose clock rate differs
// by up to a tenth.
type skewedInstance struct {
	offset  Millis  // local time at true time 0
	rate    float64 // local ms per true ms
	session Session
	dead    bool // the process has ended, so the instance sends no more commands
}

func (m *skewedInstance) localTime(at Millis) Millis { return m.offset + at*m.rate }

// renewalDue reports whether the instance has no lease, or at most half of the lease's TTL is left.
func (m *skewedInstance) renewalDue(localNow Millis) bool {
	return m.session.token == 0 || localNow >= m.session.trustedUntil-skewTTL/2
}

// skewedCluster simulates five instances, one of which leads the log, and the lease table that the log maintains.
type skewedCluster struct {
	seed                uint64
	rng                 *rand.Rand
	instances           []*skewedInstance
	leader              int
	table               *Table
	clock               logclock.Clock
	now                 Millis // true time
	diedAt, takenOverAt Millis // true time of the first instance's death and of the takeover of its lease; -1: not yet
}

func newSkewedCluster(seed uint64) *skewedCluster {
	s := &skewedCluster{seed: seed, rng: rand.New(rand.NewPCG(seed, 9)), table: NewTable(), diedAt: -1, takenOverAt: -1}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s.instances = append(s.instances, &skewedInstance{
			offset: (s.rng.Float64() - 0.5) * 7.2e6, rate: 0.9 + 0.2*s.rng.Float64(),
			session: Session{ID: TrialID(name), Holder: Holder{name, 1}, TTL: skewTTL},
		})
	}
	return s
}

// apply appends a command to the log, stamped by the leader's clock.
func (s *skewedCluster) apply(c *Command) Reply {
	stamp := logclock.Stamp{Process: uint64(s.leader + 1), Uptime: s.instances[s.leader].localTime(s.now)}
	return s.table.Apply(c, s.clock.Advance(stamp))
}

// advance moves true time forward by up to 20 ms. One call in 50 elects another leader, and the first instance dies
// after 20 s.
func (s *skewedCluster) advance() {
	s.now += 20 * s.rng.Float64()
	if s.rng.IntN(50) == 0 {
		s.leader = s.rng.IntN(len(s.instances))
		s.skipDeadLeader()
	}
	if s.diedAt < 0 && s.now > 20_000 {
		s.instances[0].dead = true
		s.diedAt = s.now
		s.leader = 0
		s.skipDeadLeader()
	}
}

func (s *skewedCluster) skipDeadLeader() {
	for s.instances[s.leader].dead {
		s.leader = s.rng.IntN(len(s.instances))
	}
}

// step makes a random instance renew its lease or try to take over the lease of another instance.
func (s *skewedCluster) step(t *testing.T) {
	t.Helper()
	instance := s.instances[s.rng.IntN(len(s.instances))]
	if instance.dead {
		return
	}
	sent := instance.localTime(s.now)
	if s.rng.IntN(4) > 0 && instance.renewalDue(sent) {
		command := instance.session.Next(nil)
		s.now += 50 * s.rng.Float64() // network delay
		reply := s.apply(&command)
		if instance.session.HandleReply(&command, sent, &reply) {
			t.Fatalf("seed %d: %s lost its lease at %.0f ms: %s", s.seed, instance.session.Holder.Name, s.now, reply.Rejection)
		}
		return
	}
	victim := s.instances[s.rng.IntN(len(s.instances))]
	if victim != instance {
		s.takeOver(t, instance, victim)
	}
}

// takeOver tries to take over the victim's lease. A grant while a live victim still trusts its lease fails the test.
func (s *skewedCluster) takeOver(t *testing.T, instance, victim *skewedInstance) {
	t.Helper()
	reply := s.apply(&Command{Operation: TakeOver, ID: victim.session.ID, Holder: instance.session.Holder, TTL: skewTTL})
	if reply.Rejection != "" {
		return
	}
	if victim.dead {
		if s.takenOverAt < 0 {
			s.takenOverAt = s.now
		}
		return
	}
	if victim.session.Valid(victim.localTime(s.now)) {
		t.Fatalf("seed %d: %s took over at %.0f ms the lease of %s, want no takeover while the holder trusts it", s.seed,
			instance.session.Holder.Name, s.now, victim.session.Holder.Name)
	}
	// The lease expired because step did not pick the victim in time. Releasing the lease lets the victim acquire it
	// again.
	s.apply(&Command{Operation: Release, ID: victim.session.ID, Holder: instance.session.Holder, Token: reply.Lease.Token})
	victim.session.token, victim.session.leaseLost = 0, false
}

// Guards against a takeover while the holder still trusts its lease. Local clocks that differ in offset and rate, and a
// leader of the log that changes, could cause one. The lease of a dead instance must be taken over within 1.5 TTL.
func TestClockSkewNeverRevokesTrustedLease(t *testing.T) {
	for seed := range uint64(300) {
		cluster := newSkewedCluster(seed)
		for cluster.now < 60_000 {
			cluster.advance()
			cluster.step(t)
		}
		if wait := cluster.takenOverAt - cluster.diedAt; cluster.takenOverAt < 0 || wait > 1.5*skewTTL {
			t.Errorf("seed %d: got takeover of the dead instance's lease after %.0f ms, want at most 1.5 TTL", seed, wait)
		}
	}
}
