package failover

import (
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// Each renewal numbers its checkpoint. When a renewal is rejected because another instance has the lease, the
// evidence is revoked once, with the leases that were merged into it.
func TestLostRenewalRevokesEvidenceOnce(t *testing.T) {
	log, engine := &fakeLog{machine: StateMachine{table: lease.NewTable()}}, &fakeEngine{responses: 3}
	manager := newManager(log, engine, time.Second)
	for range 4 { // acquires, and renews three times
		manager.renew(t.Context())
	}
	if l, held := log.get("trial/b"); !held || l.Token != 1 || l.CheckpointSeq < 3 {
		t.Errorf("%+v", l)
	}
	manager.own.addMerged(lease.Grant{ID: "trial/a", Token: 7})
	if _, fences := manager.own.mayVote(decision.VoteAdvance, manager.clock.Now()); len(fences) != 2 {
		t.Errorf("fences %+v", fences)
	}
	log.expire()
	successor := lease.Holder{Name: "c", Incarnation: 1}
	log.apply(t, lease.Command{Operation: lease.TakeOver, ID: "trial/b", Holder: successor, TTL: 1000})
	for range 2 { // rejected as stale, and rejected because another holds the lease
		manager.renew(t.Context())
	}
	if engine.revocations != 1 {
		t.Errorf("evidence was revoked %d times", engine.revocations)
	}
	if allowed, fences := manager.own.mayVote(decision.VoteAdvance, manager.clock.Now()); allowed || len(fences) != 1 {
		t.Errorf("after the loss: a vote may be sent: %v, under %+v", allowed, fences)
	}
}
