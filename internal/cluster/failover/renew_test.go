package failover

import (
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// Guards against evidence that stays with an instance after a successor has taken its lease over: the first rejected
// renewal discards the evidence, once, and drops the merged leases. Each renewal before has numbered its checkpoint.
func TestLostRenewalDiscardsEvidenceOnce(t *testing.T) {
	log, engine := &fakeLog{machine: StateMachine{table: lease.NewTable()}}, &fakeEngine{responses: 3}
	manager := newManager(log, engine, time.Second)
	for range 4 { // acquires, and renews three times
		manager.renew(t.Context())
	}
	if l, held := log.get("trial/b"); !held || l.Token != 1 || l.CheckpointSeq < 3 {
		t.Errorf("got lease %+v, want token 1 and checkpoint number 3 or higher", l)
	}
	manager.own.addMerged(lease.Grant{ID: "trial/a", Token: 7})
	if _, fences := manager.own.mayVote(decision.VoteAdvance, manager.clock.Now()); len(fences) != 2 {
		t.Errorf("got vote fences %+v, want two", fences)
	}
	log.expire()
	successor := lease.Holder{Name: "c", Incarnation: 1}
	log.apply(t, lease.Command{Operation: lease.TakeOver, ID: "trial/b", Holder: successor, TTL: 1000})
	for range 2 { // a renewal, rejected as stale, and an acquisition, rejected because another instance holds the lease
		manager.renew(t.Context())
	}
	if engine.discards != 1 {
		t.Errorf("got evidence discarded %d times, want once", engine.discards)
	}
	if allowed, fences := manager.own.mayVote(decision.VoteAdvance, manager.clock.Now()); allowed || len(fences) != 1 {
		t.Errorf("after the loss: got vote allowed %v, fences %+v, want no vote and one fence", allowed, fences)
	}
}
