// Package decision decides what a load balancer instance does with every request while a new build of the
// endpoints replaces the earlier one in stages, and how the instance votes on that roll-out.
//
// The package is a state machine without I/O, clock or goroutines. A caller makes one [Balancer] an instance
// with [New], hands it what happened through [Balancer.Handle], in order and with the time, and carries out
// the actions that are returned. Two balancers with the same settings, seed and events return the same
// actions. A Balancer is not safe for concurrent use.
//
// The build that is being rolled out is the candidate, the one it replaces the baseline. Votes follow from
// Kruskal-Wallis tests on disjoint groups of 20 outcomes, each value being a response time over the
// baseline's mean.
//
// # Where each rule stands
//
//	rule                                                 file                 function
//	which endpoint a request goes to                     routing.go           chooseEndpoint
//	what share of requests crosses zones                 crosszone.go         updateCrossZoneShare
//	whether an attempt may start at all                  admission.go         admits
//	order of waiting requests, expiry, giving up         retry.go             dispatch, expired, giveUp
//	moving a request off a silent endpoint               retry.go             migrateFromSilent
//	when an endpoint is ejected and comes back           outlier.go           observeEndpoint, eject, responded
//	what counts as an infrastructure fault               outlier.go           faultWithin
//	limits on attempts in flight                         concurrency.go       adjustEndpointLimit, adjustTotalLimit
//	weight and credit of a warming endpoint              slowstart.go         slowStartWeight, accrueSlowStartCredit
//	health checks before an attempt                      healthcheck.go       healthCheckFirst
//	how much of the traffic a candidate may get          exposure.go          exposureTokens, trialOf
//	which outcomes are compared                          samples.go           recordOutcome
//	when a group of outcomes is rejected                 comparison.go        judge, slower
//	slowness of all endpoints since the trial began      fleetslowdown.go     compareBeforeTrial
//	the rollout controller's counts as samples           controllercounts.go  addControllerCounts
//	when failures prove a bad build                      failures.go          failureEvidence
//	the reasons for a vote, in order                     verdict.go           verdictRules
//	how much proof one instance needs                    proof.go             requiredProof
//	when a vote is cast or renewed                       vote.go              castVote
//	when the endpoint list is polled                     polling.go           schedulePoll, pollRejected
package decision
