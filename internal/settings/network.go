package settings

import (
	"fmt"

	"ottershed/decision"
)

// Network holds the settings that the packages outside the decision module use for connections and discovery. A change
// needs a restart. Times are in milliseconds, at most 1e12.
type Network struct {
	// IdleTimeout (limits.conn-idle-ms) is the time after which an endpoint closes an idle connection. Required, 1 or
	// more. The pool reuses an idle connection for at most half of this time, so a higher value keeps connections for
	// longer.
	IdleTimeout decision.Millis
	// ConnectTimeout (limits.connect-timeout-ms) limits how long connecting to an endpoint may take. Required, 1 or more. A
	// higher value tolerates slower networks, and an attempt at an unreachable endpoint uses up more of the deadline.
	ConnectTimeout decision.Millis
	// ResponseGracePeriod (rules.answer-slack-ms) is how long after the deadline the response to a client may still be
	// written. Required, 0 or more. A higher value completes more late responses.
	ResponseGracePeriod decision.Millis
	// MaxClientTimeout is the longest of services[].give-up-ms, the clients' timeouts. Each is required, 1 or more. A
	// higher value keeps requests and their connections open for longer.
	MaxClientTimeout decision.Millis
	// PollEndpoints (discovery: "ask") is set if the endpoint list is polled from a service that queues calls and may
	// reject them. Default: off, the list is pushed.
	PollEndpoints bool
	// MaxPollInterval (rules.ask-within-ms) is the time within which an instance must poll. Default 0; 0 or more. A
	// higher value lets a queued call stay open for longer.
	MaxPollInterval decision.Millis
	// DrainGrace (rules.drain-grace-ms) is how long an endpoint may still get new requests after it was announced as
	// draining. Default 0, which discovery treats as 50 ms; 0 or more. A higher value allows longer watches of a pushed
	// list, and so fewer calls.
	DrainGrace decision.Millis
}

// ForNetwork returns the network settings from a map of names and texts. The error is a FieldError.
func ForNetwork(texts map[string]string) (Network, error) {
	return networkSettings(&settingReader{texts: texts})
}

func networkSettings(reader *settingReader) (Network, error) {
	network := Network{
		IdleTimeout:         reader.requiredNumber("limits.conn-idle-ms", 1, maxNumber),
		ConnectTimeout:      reader.requiredNumber("limits.connect-timeout-ms", 1, maxNumber),
		ResponseGracePeriod: reader.requiredNumber("rules.answer-slack-ms", 0, maxNumber),
		PollEndpoints:       reader.text("discovery") == "ask",
		MaxPollInterval:     reader.optionalNumber("rules.ask-within-ms"),
		DrainGrace:          reader.optionalNumber("rules.drain-grace-ms"),
	}
	for i := range reader.count("services.count", 1, maxClasses) {
		timeout := reader.requiredNumber(fmt.Sprintf("services.%d.give-up-ms", i), 1, maxNumber)
		network.MaxClientTimeout = max(network.MaxClientTimeout, timeout)
	}
	return network, reader.err
}
