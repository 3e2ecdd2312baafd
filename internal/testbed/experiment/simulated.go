package experiment

import (
	"time"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/membership/sim"
)

// maxSimulatedTimes bounds MembersResult.Each of a simulated experiment.
const maxSimulatedTimes = 1 << 20

// simulatedRun records what simulated detectors observe.
type simulatedRun struct {
	fleet       *sim.Fleet
	result      *MembersResult
	victims     map[membership.Name]int // to their number
	killed      Millis                  // when all victims were killed
	first, last []float64               // time until the first and the last member declared it, by victim
	declared    []int                   // members that declared it, by victim
}

// MeasureSimulated measures detectors alone in simulated time: all know each other from the start, some are killed at
// once, and all are watched for a span (in simulated milliseconds). Packets are lost all the time at the rate of the
// settings.
func MeasureSimulated(set sim.Settings, kills int, watch Millis) (*MembersResult, error) {
	began := time.Now()
	set.Prejoined = true
	cluster, err := sim.New(set)
	if err != nil {
		return nil, err
	}
	result := &MembersResult{Kind: "simulated", Members: set.Members, Loss: set.Loss, Bound: set.DetectionTimeout}
	cluster.Run(set.DetectionTimeout / 2) // until the first probes are over
	bytes, packets := cluster.Bytes, cluster.Packets
	cluster.Run(watch)
	memberSeconds := watch / 1000 * Millis(set.Members)
	result.BytesOut = float64(cluster.Bytes-bytes) / memberSeconds
	result.PacketsOut = float64(cluster.Packets-packets) / memberSeconds
	run := &simulatedRun{
		fleet: cluster, result: result, victims: map[membership.Name]int{}, killed: cluster.Now(),
		first: make([]float64, kills), last: make([]float64, kills), declared: make([]int, kills),
	}
	cluster.OnChange = run.observe
	for i := range kills {
		victim := (i*set.Members/kills + 1) % set.Members
		run.victims[cluster.Member(victim).Name] = i
		cluster.Kill(victim)
	}
	cluster.Run(2 * set.DetectionTimeout)
	result.Deaths, result.First, result.All = kills, SpreadOf(run.first), SpreadOf(run.last)
	for _, declared := range run.declared {
		result.Undeclared += set.Members - kills - declared
	}
	result.Watched = (watch + 2*set.DetectionTimeout) * Millis(set.Members)
	result.Took = time.Since(began)
	return result, nil
}

// observe counts a member's change of another member's state, where it declares a death.
func (r *simulatedRun) observe(change sim.Observation) {
	if change.State != membership.Dead || change.New {
		return
	}
	if change.Running {
		r.result.FalseDead++
		return
	}
	victim, known := r.victims[change.Name]
	if !known {
		return
	}
	took := r.fleet.Now() - r.killed
	r.declared[victim]++
	if r.declared[victim] == 1 {
		r.first[victim] = took
	}
	r.last[victim] = took
	if len(r.result.Each) < maxSimulatedTimes {
		r.result.Each = append(r.result.Each, took)
	}
}
