// Package decision routes the requests of a load balancer instance during the staged rollout of a new
// endpoint build, and determines the votes of that instance on the rollout.
//
// The package is a deterministic state machine without I/O, clock or goroutines. Each instance creates one
// [Balancer] with [New], passes events and their times to [Balancer.Handle] in order, and carries out the
// returned actions. Two balancers with the same settings, seed and events return the same actions. A Balancer
// is not safe for concurrent use.
//
// The build that is being rolled out is the candidate; the build that the candidate replaces is the baseline.
// Votes are based on Kruskal-Wallis tests on disjoint groups of 20 outcomes. The value of an outcome is its
// response time divided by the baseline's mean response time.
//
// # Rules by file and function
//
//	rule                                                 file                 function
//	endpoint selection for a request                     routing.go           chooseEndpoint
//	cross-zone share of requests                         crosszone.go         updateCrossZoneShare
//	admission of an attempt                              admission.go         admits
//	order and expiry of waiting requests                 retry.go             dispatch, expired, giveUp
//	migration of requests from silent endpoints          retry.go             migrateFromSilent
//	ejection and readmission of endpoints                outlier.go           observeEndpoint, eject, recordResponse
//	detection of infrastructure faults                   outlier.go           faultWithin
//	concurrency limits                                   concurrency.go       adjustEndpointLimit, adjustTotalLimit
//	slow start weight and credit                         slowstart.go         slowStartWeight, accrueSlowStartCredit
//	health checks before an attempt                      healthcheck.go       healthCheckFirst
//	exposure of a build in trial                         exposure.go          exposureTokens, trialOf
//	selection of outcomes for comparison                 samples.go           recordOutcome
//	rejection of a group of outcomes                     comparison.go        evaluateLastGroup, slower
//	slowdown of all endpoints since the trial began      fleetslowdown.go     compareBeforeTrial
//	rollout controller counts as samples                 controllercounts.go  addControllerCounts
//	failures as evidence of a bad build                  failures.go          failureEvidence
//	reasons for a vote, in order                         verdict.go           verdictRules
//	evidence that one instance needs                     proof.go             deriveThresholds
//	casting and renewal of votes                         vote.go              castVote
//	polling of the endpoint list                         polling.go           pollIfDue, pollRejected
package decision
