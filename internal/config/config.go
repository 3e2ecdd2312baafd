package config

import (
	"fmt"
	"reflect"
	"strings"

	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// Config is what holds for this start.
type Config struct {
	// Name (name, LB_NAME) is the instance's name, in each line of the log as marshal. Required.
	Name string
	// Listen (listen, LB_LISTEN) is the host:port that clients connect to. Required, port 1 to 65535.
	Listen string
	// Discovery (discovery, LB_DISCOVERY) is the host:port of the endpoint list. Required, port 1 to 65535. It can
	// change while the instance runs.
	Discovery string
	// Platform (platform.address) is the host:port of the rollout controller. Required, port 1 to 65535. It can
	// change while the instance runs.
	Platform string
	// Seed (seed) seeds all random choices. Required, a hexadecimal number of 64 bits, new with each start.
	Seed uint64
	// Limits (limits) are what the machine gives.
	Limits Limits
	// Settings and Network (settings) are those of the deployment. Required; those of Settings can change while the
	// instance runs, see Switchable.
	Settings decision.Settings
	Network  settings.Network
	// Values are the texts of all settings by their names, those included that nothing reads.
	Values map[string]string
	// Endpoints (known) is the endpoint list as it was last held, which may be old; nil: none. Default none.
	Endpoints *engine.EndpointUpdate
	// Stage (platform.news) is the newest stage update; nil: none. Default none.
	Stage *decision.StageUpdate
	// Warnings are lines on what is odd but does no harm, such as keys that are not known.
	Warnings []string
	// Operator is what the operator's own file says; nil: there is none.
	Operator *Operator
}

// Limits are what the machine gives.
type Limits struct {
	// Cores (limits.cores) is the number of processors, 0.01 to 1024, default 1. Rounded up it is GOMAXPROCS.
	Cores float64 `json:"cores"`
	// MemoryMB (limits.memory_mb) is the memory in MiB, 16 to 1048576, default 192. Higher admits more connections.
	MemoryMB float64 `json:"memory_mb"`
	// Sockets (limits.sockets) is the number of file descriptors, 64 to 1048576, default 1024. Higher admits more
	// connections.
	Sockets int `json:"sockets"`
}

const (
	reservedDescriptors = 32       // descriptors that are neither a client's nor an endpoint's
	maxBodyBytes        = 64 << 10 // of the body of a request or response
	bodiesPerConnection = 3        // bodies that a request holds at most
	bytesPerMB          = 1 << 20
)

// Connections is the number of connections to clients, and also of those to endpoints, that the limits allow: each open
// request may need one of both, and half of the memory holds the bodies.
func (l Limits) Connections() int {
	byDescriptors := (l.Sockets - reservedDescriptors) / 2
	byMemory := int(l.MemoryMB*bytesPerMB/2) / (bodiesPerConnection * maxBodyBytes)
	return max(1, min(byDescriptors, byMemory))
}

// MemoryLimit is the limit for the garbage collector, in bytes: three quarters of the memory.
func (l Limits) MemoryLimit() int64 { return int64(l.MemoryMB * bytesPerMB * 3 / 4) }

// String lists what holds, defaults and what follows from the limits included.
func (c *Config) String() string {
	known, stage := "none", "none"
	if c.Endpoints != nil {
		known = fmt.Sprintf("%d nodes, index %d", len(c.Endpoints.Endpoints), c.Endpoints.Version)
	}
	if c.Stage != nil {
		stage = fmt.Sprintf("build %d, stage %d, cap %g", c.Stage.Build, c.Stage.Stage, c.Stage.ExposureCap)
	}
	classes := make([]string, len(c.Settings.Classes))
	for i, class := range c.Settings.Classes {
		classes[i] = fmt.Sprintf("%s (target %g ms)", class.Name, class.LatencyObjective)
	}
	lines := [][2]any{
		{"name", c.Name},
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"seed", fmt.Sprintf("%016x", c.Seed)},
		{"limits.cores", c.Limits.Cores},
		{"limits.memory_mb", c.Limits.MemoryMB},
		{"limits.sockets", c.Limits.Sockets},
		{"platform.address", c.Platform},
		{"platform.news", stage},
		{"known", known},
		{"settings", fmt.Sprintf("%d marshals, zone %q, stages %v, caps %v", c.Settings.Instances, c.Settings.Zone,
			c.Settings.Stages, c.Settings.ExposureCaps)},
		{"path groups", strings.Join(classes, ", ")},
		{"longest client timeout", fmt.Sprintf("%g ms", c.Network.LongestTimeout)},
		{"connections to clients", c.Limits.Connections()},
		{"connections to nodes", c.Limits.Connections()},
		{"memory limit", fmt.Sprintf("%d MB", c.Limits.MemoryLimit()/bytesPerMB)},
	}
	var text strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&text, "%-23s %v\n", line[0], line[1])
	}
	return text.String()
}

// RestartOnly names the keys that differ in updated and hold from a start on only. A new seed is not worth a line.
func (c *Config) RestartOnly(updated *Config) (keys []string) {
	for _, part := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == updated.Name},
		{"listen", c.Listen == updated.Listen},
		{"limits", c.Limits == updated.Limits},
		{"settings", c.Switchable(updated)},
	} {
		if !part.same {
			keys = append(keys, part.key)
		}
	}
	return keys
}

// Switchable tells whether a running instance can take next's settings: all but its request classes, tenants, clock
// granularity and the settings of the sockets.
func (c *Config) Switchable(next *Config) bool {
	now, then := c.Settings, next.Settings
	return reflect.DeepEqual(now.Classes, then.Classes) && reflect.DeepEqual(now.Tenants, then.Tenants) &&
		now.ClockGranularity == then.ClockGranularity && c.Network == next.Network
}

// WithPolicy returns the decision module's settings under a policy of the fleet. The error is that of settings.Overlay.
func (c *Config) WithPolicy(p *policy.Policy) (decision.Settings, error) {
	set := c.Settings
	if len(p.Settings) > 0 {
		values, err := settings.Overlay(c.Values, p.Settings)
		if err != nil {
			return set, err
		}
		if set, err = settings.ForModule(values); err != nil {
			return set, err
		}
	}
	set.Halt = p.Halt
	if p.TrialShare != nil {
		set.WithheldShare = 1 - *p.TrialShare
	}
	return set, nil
}
