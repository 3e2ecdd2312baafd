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

// Config holds an instance's configuration after precedence, checks and defaults.
type Config struct {
	// Name (name, LB_NAME) is the instance's name; each log line has it in the field marshal. Required.
	Name string
	// Listen (listen, LB_LISTEN) is the host:port that clients connect to. Required, port 1 to 65535.
	Listen string
	// Discovery (discovery, LB_DISCOVERY) is the host:port of the discovery service. Required, port 1 to 65535. A
	// reload applies a change.
	Discovery string
	// Platform (platform.address) is the host:port of the rollout controller. Required, port 1 to 65535. A reload
	// applies a change.
	Platform string
	// Seed (seed) seeds the random number generator. Required, a 64-bit hexadecimal number, new with each start.
	Seed uint64
	// Limits (limits) are the resources of the machine.
	Limits Limits
	// Settings and Network (settings) are the settings of the deployment. Required. A reload applies a change of
	// Settings if CanReloadSettings allows it, and never a change of Network.
	Settings decision.Settings
	Network  settings.Network
	// RawSettings maps each setting's name to its text, including settings that no code reads.
	RawSettings map[string]string
	// Endpoints (known) is the last known endpoint list, which may be out of date. Default nil: none.
	Endpoints *engine.EndpointUpdate
	// Stage (platform.news) is the newest stage update. Default nil: none.
	Stage *decision.StageUpdate
	// Warnings describe harmless mistakes, such as unknown keys, one per element.
	Warnings []string
	// Operator is the configuration from the operator's file; nil: no file was given.
	Operator *Operator
}

// Limits holds the resources of the machine that an instance runs on.
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
	reservedDescriptors = 32       // descriptors not used for connections to clients and endpoints
	maxBodyBytes        = 64 << 10 // limit on a request's body in internal/ingress, and on a response's in internal/upstream
	bodiesPerConnection = 3        // most bodies that a request keeps in memory at once
	bytesPerMiB         = 1 << 20
	unmanagedMiB        = 14 // memory that the Go runtime does not limit: the program's pages, and what it exceeds its limit by
)

// Connections returns the maximum number of connections to clients, which is also the maximum to endpoints, and at least 1.
// Each open request may need one connection of each kind, and half of the memory is reserved for bodies.
func (l Limits) Connections() int {
	byDescriptors := (l.Sockets - reservedDescriptors) / 2
	byMemory := int(l.MemoryMB*bytesPerMiB/2) / (bodiesPerConnection * maxBodyBytes)
	return max(1, min(byDescriptors, byMemory))
}

// MemoryLimit returns the soft memory limit of the Go runtime in bytes: three quarters of the memory, and at least
// unmanagedMiB less than the memory, but no less than a quarter of it.
func (l Limits) MemoryLimit() int64 {
	managedMiB := min(l.MemoryMB*3/4, l.MemoryMB-unmanagedMiB)
	return int64(max(managedMiB, l.MemoryMB/4) * bytesPerMiB)
}

// String lists the configuration, one key per line, including defaults and values derived from the limits.
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
			c.Settings.StageShares, c.Settings.ExposureCaps)},
		{"path groups", strings.Join(classes, ", ")},
		{"longest client timeout", fmt.Sprintf("%g ms", c.Network.MaxClientTimeout)},
		{"connections to clients", c.Limits.Connections()},
		{"connections to nodes", c.Limits.Connections()},
		{"memory limit", fmt.Sprintf("%d MB", c.Limits.MemoryLimit()/bytesPerMiB)},
	}
	var text strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&text, "%-23s %v\n", line[0], line[1])
	}
	return text.String()
}

// KeysNeedingRestart returns the keys that differ in updated and take effect only at a restart. It leaves out known and
// platform.news, which are used only at the start, and the seed: a new seed does not justify a warning.
func (c *Config) KeysNeedingRestart(updated *Config) (keys []string) {
	for _, comparison := range []struct {
		key             string
		noRestartNeeded bool
	}{
		{"name", c.Name == updated.Name},
		{"listen", c.Listen == updated.Listen},
		{"limits", c.Limits == updated.Limits},
		{"settings", c.CanReloadSettings(updated)},
	} {
		if !comparison.noRestartNeeded {
			keys = append(keys, comparison.key)
		}
	}
	return keys
}

// CanReloadSettings reports whether a running instance can apply next's settings. Request classes, tenants, clock
// granularity and network settings must be the same, since they need a restart.
func (c *Config) CanReloadSettings(next *Config) bool {
	current, updated := c.Settings, next.Settings
	return reflect.DeepEqual(current.Classes, updated.Classes) && reflect.DeepEqual(current.Tenants, updated.Tenants) &&
		current.ClockGranularity == updated.ClockGranularity && c.Network == next.Network
}

// WithPolicy returns the decision module's settings with those of a policy applied over them. The error is one of
// settings.Overlay or settings.ForDecisionModule. The returned settings are not usable then.
func (c *Config) WithPolicy(p *policy.Policy) (decision.Settings, error) {
	merged := c.Settings
	if len(p.Settings) > 0 {
		values, err := settings.Overlay(c.RawSettings, p.Settings)
		if err != nil {
			return merged, err
		}
		if merged, err = moduleSettings(values); err != nil {
			return merged, err
		}
	}
	merged.Halt = p.Halt
	if p.TrialShare != nil {
		merged.WithheldShare = 1 - *p.TrialShare
	}
	return merged, nil
}
