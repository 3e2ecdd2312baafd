package lease

import (
	"math/rand/v2"
	"ottershed/internal/cluster/logclock"
	"testing"
)

// machine is one marshal with a clock of its own, which is off by hours and runs fast or slow by a tenth.
type fakeInstance struct {
	offset, rate Millis
	own          Session
	dead         bool
}

func (m *fakeInstance) clock(at Millis) Millis { return m.offset + at*m.rate }

// Leases under clocks that lie, with any marshal leading the log: nobody takes a piece that its owner still holds by its own
// clock, and a dead one's piece is to be had soon, whoever leads. Measured before, on the book itself: one entry by a leader an
// hour ahead let a sound owner's piece go 100 ms into its lease of 5 s, and held a dead one's for an hour.
func TestLeasesUnderClockSkew(t *testing.T) {
	const span = 5000.0
	for seed := range uint64(300) {
		chance := rand.New(rand.NewPCG(seed, 9))
		var all []*fakeInstance
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			all = append(all, &fakeInstance{
				offset: (chance.Float64() - 0.5) * 7.2e6, rate: 0.9 + 0.2*chance.Float64(),
				own: Session{ID: TrialID(name), Holder: Holder{name, 1}, TTL: span},
			})
		}
		b, c, at, lead := NewTable(), logclock.Clock{}, 0.0, 0
		apply := func(cmd *Command) Reply {
			return b.Apply(cmd, c.Advance(logclock.Stamp{Process: uint64(lead + 1), Uptime: all[lead].clock(at)}))
		}
		died, taken := -1.0, -1.0
		for at < 60_000 {
			at += 20 * chance.Float64()
			if chance.IntN(50) == 0 {
				for lead = chance.IntN(len(all)); all[lead].dead; lead = chance.IntN(len(all)) {
				}
			}
			if died < 0 && at > 20_000 {
				all[0].dead, died = true, at
				for lead = 0; all[lead].dead; lead = chance.IntN(len(all)) {
				}
			}
			m := all[chance.IntN(len(all))]
			if m.dead {
				continue
			}
			sent := m.clock(at)
			if cmd := m.own.Next(nil); chance.IntN(4) > 0 && (m.own.token == 0 || sent >= m.own.trustedUntil-span/2) {
				at += 50 * chance.Float64() // on the way
				r := apply(&cmd)
				if m.own.HandleReply(&cmd, sent, &r) {
					t.Fatalf("seed %d: %s lost its piece at %.0f ms: %s", seed, m.own.Holder.Name, at, r.Rejection)
				}
				continue
			}
			victim := all[chance.IntN(len(all))]
			if victim == m {
				continue
			}
			r := apply(&Command{Operation: TakeOver, ID: victim.own.ID, Holder: m.own.Holder, TTL: span})
			if r.Rejection != "" {
				continue
			}
			if !victim.dead && victim.own.Valid(victim.clock(at)) {
				t.Fatalf("seed %d: %s took at %.0f ms what %s holds by its own clock", seed, m.own.Holder.Name, at, victim.own.Holder.Name)
			}
			if victim.dead && taken < 0 {
				taken = at
			}
			if !victim.dead { // it lapsed, for its owner had not come to keep it; give it back
				release := Command{Operation: Release, ID: victim.own.ID, Holder: m.own.Holder, Token: r.Lease.Token}
				apply(&release)
				victim.own.token, victim.own.lost = 0, false
			}
		}
		if wait := taken - died; taken < 0 || wait > 1.5*span {
			t.Errorf("seed %d: the dead one's piece was taken after %.0f ms", seed, wait)
		}
	}
}
