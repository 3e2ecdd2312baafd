package settings

import (
	"fmt"

	"ottershed/decision"
)

// Network holds the settings that the sockets need and no decision reads. A change needs a restart. Times are in
// milliseconds and at most 1e12.
type Network struct {
	// IdleAfter (limits.conn-idle-ms) is when an endpoint closes an idle connection. Required, 1 or more. Higher
	// keeps idle connections for reuse for longer, at most half of it.
	IdleAfter decision.Millis
	// ConnectTimeout (limits.connect-timeout-ms) limits the set-up of a connection to an endpoint. Required, 1 or more.
	// Higher tolerates slower networks, and an attempt to an endpoint that is out of reach costs more of the deadline.
	ConnectTimeout decision.Millis
	// ResponseSlack (rules.answer-slack-ms) is how long past the deadline the final response to a client may still be
	// written. Required, 0 or more. Higher completes more responses that are late.
	ResponseSlack decision.Millis
	// LongestTimeout is the longest of services[].give-up-ms, the clients' deadlines. Each is required, 1 or more.
	// Higher keeps requests, and their connections, for longer.
	LongestTimeout decision.Millis
	// PollEndpoints (discovery: "ask") says that the endpoint list is polled from a service with a queue, which may
	// reject a call. Default: off, the list is pushed.
	PollEndpoints bool
	// PollWithin (rules.ask-within-ms) is the time by which an instance must have polled. Default 0; 0 or more.
	// Higher lets a queued call wait for longer before it is given up.
	PollWithin decision.Millis
	// DrainGrace (rules.drain-grace-ms) is the time from the notice that an endpoint drains until it may get no new
	// requests. Default 0, which discovery takes for 50 ms; 0 or more. Higher means longer watches on a pushed list,
	// and fewer calls.
	DrainGrace decision.Millis
}

// ForNetwork reads the settings of the sockets; the error is a FieldError.
func ForNetwork(texts map[string]string) (Network, error) { return forNetwork(&values{texts: texts}) }

func forNetwork(vals *values) (Network, error) {
	network := Network{
		IdleAfter:      vals.required("limits.conn-idle-ms", 1, maxNumber),
		ConnectTimeout: vals.required("limits.connect-timeout-ms", 1, maxNumber),
		ResponseSlack:  vals.required("rules.answer-slack-ms", 0, maxNumber),
		PollEndpoints:  vals.text("discovery") == "ask",
		PollWithin:     vals.optional("rules.ask-within-ms"),
		DrainGrace:     vals.optional("rules.drain-grace-ms"),
	}
	for i := range vals.count("services.count", 1, maxClasses) {
		timeout := vals.required(fmt.Sprintf("services.%d.give-up-ms", i), 1, maxNumber)
		network.LongestTimeout = max(network.LongestTimeout, timeout)
	}
	return network, vals.err
}
