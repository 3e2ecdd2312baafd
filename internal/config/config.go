// Package config is where a marshal's configuration is read, checked and given defaults. A flag on the command line
// comes before the environment, that before the file, and the file before the defaults.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/rollout"
	"ottershed/internal/settings"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config is what holds for this start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Platform  string
	Seed      uint64
	Limits    Limits
	Settings  decision.Settings
	Network   settings.Network
	Values    map[string]string      // all settings by their names, as they came
	Endpoints *engine.EndpointUpdate // the nodes as last held; nil: none
	Stage     *decision.StageUpdate  // the newest build; nil: none
	Warnings  []string               // what is odd but does no harm
	Operator  *Operator              // the operator's own file; nil: none
}

// Limits are what the machine gives.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	reservedDescriptors = 32       // descriptors that are neither a client's nor a node's
	maxBodyBytes        = 64 << 10 // of a request's or an answer's body, at most
)

// Connections is how many to clients, and as many to nodes, the limits allow: each open hit may need one of both,
// and half of the memory holds the bodies.
func (l Limits) Connections() int {
	return max(1, min((l.Sockets-reservedDescriptors)/2, int(l.MemoryMB*(1<<20)/2)/(3*maxBodyBytes)))
}

// MemoryLimit is what the garbage collector keeps below, in bytes.
func (l Limits) MemoryLimit() int64 { return int64(l.MemoryMB * (1 << 20) * 3 / 4) }

// String tells what holds, defaults and what follows from the limits included.
func (c *Config) String() string {
	known, stage := "none", "none"
	if c.Endpoints != nil {
		known = fmt.Sprintf("%d nodes, index %d", len(c.Endpoints.Endpoints), c.Endpoints.Version)
	}
	if c.Stage != nil {
		stage = fmt.Sprintf("build %d, stage %d, cap %g", c.Stage.Build, c.Stage.Stage, c.Stage.ExposureCap)
	}
	groups := make([]string, len(c.Settings.Classes))
	for i, g := range c.Settings.Classes {
		groups[i] = fmt.Sprintf("%s (target %g ms)", g.Name, g.LatencyObjective)
	}
	var b strings.Builder
	for _, line := range [][2]any{
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
		{"settings", fmt.Sprintf("%d marshals, zone %q, stages %v, caps %v", c.Settings.Instances, c.Settings.Zone, c.Settings.Stages, c.Settings.ExposureCaps)},
		{"path groups", strings.Join(groups, ", ")},
		{"longest client timeout", fmt.Sprintf("%g ms", c.Network.LongestTimeout)},
		{"connections to clients", c.Limits.Connections()},
		{"connections to nodes", c.Limits.Connections()},
		{"memory limit", fmt.Sprintf("%d MB", c.Limits.MemoryLimit()>>20)},
	} {
		fmt.Fprintf(&b, "%-23s %v\n", line[0], line[1])
	}
	return b.String()
}

// file is the configuration as it is written.
type file struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Seed      string   `json:"seed"`
	Limits    Limits   `json:"limits"`
	Platform  platform `json:"platform"`
	Known     optional `json:"known"`
	Settings  optional `json:"settings"`
}

type platform struct {
	Address string   `json:"address"`
	News    optional `json:"news"`
}

// optional is a part that has a form of its own.
type optional = json.RawMessage

// embedded is the configuration of a marshal that is started without one: to look at, on loopback.
//
//go:embed default.json
var embedded []byte

// Read reads the file at path, or the embedded default where there is none, and the environment. An error names the key at fault.
func Read(path string, env func(string) string) (*Config, error) {
	return readAs(path, env, false)
}

// Reread reads the file again for a marshal that runs. Danger: its environment is that of its start, and would keep
// an address that has been left; so here the file's discovery comes first.
func Reread(path string, env func(string) string) (*Config, error) {
	return readAs(path, env, true)
}

// Fixed names the keys that differ in next and hold from a start on only. A new seed is nothing to tell of.
func (c *Config) RestartOnly(updated *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == updated.Name},
		{"listen", c.Listen == updated.Listen},
		{"limits", c.Limits == updated.Limits},
		{"settings", c.Switchable(updated)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Switchable tells whether a running marshal can take next's settings: all but its path groups, tenants,
// granularity and the figures of the sockets.
func (c *Config) Switchable(next *Config) bool {
	a, b := c.Settings, next.Settings
	return reflect.DeepEqual(a.Classes, b.Classes) && reflect.DeepEqual(a.Tenants, b.Tenants) &&
		a.ClockGranularity == b.ClockGranularity && c.Network == next.Network
}

// Under are the module's settings under a policy of the fleet. An error names the key.
func (c *Config) WithPolicy(p *policy.Policy) (decision.Settings, error) {
	set, figures := c.Settings, c.Values
	var err error
	if len(p.Settings) > 0 {
		if figures, err = settings.Overlay(c.Values, p.Settings); err != nil {
			return set, err
		}
		if set, err = settings.ForModule(figures); err != nil {
			return set, err
		}
	}
	if set.Halt = p.Halt; p.TrialShare != nil {
		set.WithheldShare = 1 - *p.TrialShare
	}
	return set, nil
}

// rewriting is how long a file that ends too soon is read again: whoever writes it may not be done. Danger: a marshal that
// starts in that moment would not come up, and one that runs would stay where it was told to leave.
const rewriteTimeout = 500 * time.Millisecond

// contents are those of the file at path, whole; of the embedded default where there is none.
func contents(path string) (raw []byte, err error) {
	if path == "" {
		return embedded, nil
	}
	for end := time.Now().Add(rewriteTimeout); ; time.Sleep(rewriteTimeout / 50) {
		if raw, err = os.ReadFile(path); err != nil || !truncated(raw) || time.Now().After(end) {
			return raw, err
		}
	}
}

// cutShort tells whether a text is the beginning of JSON and no more.
func truncated(raw []byte) bool {
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(new(json.RawMessage))
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func readAs(path string, env func(string) string, again bool) (*Config, error) {
	raw, err := contents(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	f := file{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	var given map[string]json.RawMessage
	err = json.Unmarshal(raw, &given)
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
		return nil, fmt.Errorf("%s: want %s, got %s", wrong.Field, inWords(wrong.Type), wrong.Value)
	} else if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for key, to := range map[string]*string{"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery} {
		if v := env(key); v != "" && !(again && key == "LB_DISCOVERY" && *to != "") {
			*to = v
		}
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Platform: f.Platform.Address,
		Limits: f.Limits,
	}
	if path == "" {
		c.Warnings = append(c.Warnings, "config: none is given, the embedded default holds")
	}
	c.warn("", given, reflect.TypeFor[file]())
	for key, in := range map[string]reflect.Type{
		"limits":   reflect.TypeFor[Limits](),
		"platform": reflect.TypeFor[platform](),
	} {
		var part map[string]json.RawMessage
		if json.Unmarshal(given[key], &part) == nil {
			c.warn(key+".", part, in)
		}
	}
	slices.Sort(c.Warnings)
	if err := c.check(f); err != nil {
		return nil, err
	}
	return c, c.decode(f)
}

// inWords names what a key must hold, as the file has it.
func inWords(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Struct:
		return "an object"
	}
	return "text"
}

// warn notes keys that nothing reads.
func (c *Config) warn(at string, given map[string]json.RawMessage, in reflect.Type) {
	for key := range given {
		known := false
		for i := range in.NumField() {
			known = known || in.Field(i).Tag.Get("json") == key
		}
		if !known {
			c.Warnings = append(c.Warnings, at+key+": not a key that is known")
		}
	}
}

func (c *Config) check(f file) (err error) {
	if c.Name == "" {
		return errors.New("name: missing")
	}
	for _, a := range []struct{ key, address string }{
		{"listen", c.Listen}, {"discovery", c.Discovery}, {"platform.address", c.Platform},
	} {
		host, port, err := net.SplitHostPort(a.address)
		if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || host == "" || n == 0 {
			return fmt.Errorf("%s: want host:port, got %q", a.key, a.address)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: want a hexadecimal number of 64 bits, got %q", f.Seed)
	}
	for _, l := range []struct {
		key          string
		v, low, high float64
	}{
		{"limits.cores", c.Limits.Cores, 0.01, 1024},
		{"limits.memory_mb", c.Limits.MemoryMB, 16, 1 << 20},
		{"limits.sockets", float64(c.Limits.Sockets), 2 * reservedDescriptors, 1 << 20},
	} {
		if l.v < l.low || l.v > l.high {
			return fmt.Errorf("%s: want %v to %.0f, got %v", l.key, l.low, l.high, l.v)
		}
	}
	return nil
}

// decode reads the parts that have a form of their own.
func (c *Config) decode(f file) error {
	if !present(f.Settings) {
		return errors.New("settings: missing")
	}
	values, err := settings.Flatten(f.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Values = values
	if c.Settings, err = settings.ForModule(values); err != nil {
		return err
	}
	if c.Network, err = settings.ForNetwork(values); err != nil {
		return err
	}
	if present(f.Known) {
		known, err := discovery.Decode(f.Known)
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		known.Kind = decision.CachedSnapshot
		c.Endpoints = &known
	}
	if present(f.Platform.News) {
		news, err := rollout.DecodeStage(f.Platform.News)
		if err != nil {
			return fmt.Errorf("platform.news: %w", err)
		}
		c.Stage = &news
	}
	return nil
}

func present(part optional) bool {
	text := strings.TrimSpace(string(part))
	return text != "" && text != "null" && text != "{}"
}
