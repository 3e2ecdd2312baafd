package experiment

import (
	"time"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/membership/sim"
)

// maxDetectionTimes bounds the length of MembershipResult.DetectionTimes in a simulated experiment.
const maxDetectionTimes = 1 << 20

// simulatedRun records the observations of simulated failure detectors.
type simulatedRun struct {
	fleet                           *sim.Fleet
	result                          *MembershipResult
	victims                         map[membership.Name]int // index of each killed member
	killed                          Millis                  // simulated time of the kills, which are simultaneous
	firstDetections, fullDetections []float64               // milliseconds to the first and to the last declaration, by victim
	declared                        []int                   // number of declarations, by victim
}

// MeasureSimulatedMembership measures failure detectors in simulated time. All members know each other from the start,
// kills members are killed at the same time, and the others are observed. Packet rates are measured over watch, in
// simulated milliseconds, before the kills. Packets are lost at the rate of the settings all the time.
func MeasureSimulatedMembership(settings sim.Settings, kills int, watch Millis) (*MembershipResult, error) {
	start := time.Now()
	settings.Prejoined = true
	cluster, err := sim.New(settings)
	if err != nil {
		return nil, err
	}
	result := &MembershipResult{
		Kind: "simulated", Members: settings.Members, Loss: settings.Loss, DetectionTimeout: settings.DetectionTimeout,
	}
	cluster.Run(settings.DetectionTimeout / 2) // until the first probes have ended
	bytes, packets := cluster.BytesSent, cluster.PacketsSent
	cluster.Run(watch)
	memberSeconds := watch / 1000 * Millis(settings.Members)
	result.BytesPerSecond = float64(cluster.BytesSent-bytes) / memberSeconds
	result.PacketsPerSecond = float64(cluster.PacketsSent-packets) / memberSeconds
	run := &simulatedRun{
		fleet: cluster, result: result, victims: map[membership.Name]int{}, killed: cluster.Now(),
		firstDetections: make([]float64, kills), fullDetections: make([]float64, kills), declared: make([]int, kills),
	}
	cluster.OnChange = run.observe
	for i := range kills {
		victim := (i*settings.Members/kills + 1) % settings.Members
		run.victims[cluster.Member(victim).Name] = i
		cluster.Kill(victim)
	}
	cluster.Run(2 * settings.DetectionTimeout)
	result.Deaths, result.FirstDetection, result.FullDetection = kills,
		QuantilesOf(run.firstDetections), QuantilesOf(run.fullDetections)
	for _, declared := range run.declared {
		result.Undetected += settings.Members - kills - declared
	}
	result.WatchedMemberTime = (watch + 2*settings.DetectionTimeout) * Millis(settings.Members)
	result.Elapsed = time.Since(start)
	return result, nil
}

// observe records the declaration of a death. It ignores other state changes.
func (r *simulatedRun) observe(change sim.Observation) {
	if change.State != membership.Dead || change.NewMember {
		return
	}
	if change.SubjectRunning {
		r.result.FalseDeaths++
		return
	}
	victim, known := r.victims[change.Name]
	if !known {
		return
	}
	delay := r.fleet.Now() - r.killed
	r.declared[victim]++
	if r.declared[victim] == 1 {
		r.firstDetections[victim] = delay
	}
	r.fullDetections[victim] = delay
	if len(r.result.DetectionTimes) < maxDetectionTimes {
		r.result.DetectionTimes = append(r.result.DetectionTimes, delay)
	}
}
