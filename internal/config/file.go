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
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"ottershed/decision"
	"ottershed/internal/discovery"
	"ottershed/internal/rollout"
	"ottershed/internal/settings"
)

// KeyError is returned for a key that is missing or wrong. Keys below settings have settings.FieldError instead.
type KeyError struct {
	Key string // such as limits.cores
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// errMissing is the fault of a key that is required and not there.
var errMissing = errors.New("missing")

// wrongValue makes the fault of a key that has another value than is wanted.
func wrongValue(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// file is the configuration as it is encoded.
type file struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`    // host:port
	Discovery string   `json:"discovery"` // host:port
	Seed      string   `json:"seed"`      // hexadecimal
	Limits    Limits   `json:"limits"`
	Platform  platform `json:"platform"`
	Known     optional `json:"known"`    // an endpoint list, see discovery.Decode
	Settings  optional `json:"settings"` // see settings.Flatten
}

// platform is the part of the file on the rollout controller.
type platform struct {
	Address string   `json:"address"` // host:port
	News    optional `json:"news"`    // a stage update, see rollout.DecodeStage
}

// optional is a part that has a form of its own.
type optional = json.RawMessage

// defaultLimits hold where the file says nothing.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// embedded is the configuration of an instance that is started without one: to try it out, on loopback.
//
//go:embed default.json
var embedded []byte

// Read reads the file at path, or the embedded default if path is empty, and the environment.
func Read(path string, env func(string) string) (*Config, error) {
	return readAs(path, env, false)
}

// Reread reads the file again for a running instance. Its environment is that of its start and would keep an address
// that has been left; so here the file's discovery takes precedence.
func Reread(path string, env func(string) string) (*Config, error) {
	return readAs(path, env, true)
}

func readAs(path string, env func(string) string, again bool) (*Config, error) {
	raw, err := contents(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	encoded := file{Limits: defaultLimits}
	var given map[string]json.RawMessage
	err = json.Unmarshal(raw, &given)
	if err == nil {
		err = json.Unmarshal(raw, &encoded)
	}
	if err != nil {
		return nil, unreadable(path, err)
	}
	encoded.override(env, again)
	cfg := &Config{
		Name: encoded.Name, Listen: encoded.Listen, Discovery: encoded.Discovery, Platform: encoded.Platform.Address,
		Limits: encoded.Limits, Warnings: unknownKeys(given),
	}
	if path == "" {
		cfg.Warnings = append(cfg.Warnings, "config: none is given, the embedded default holds")
	}
	slices.Sort(cfg.Warnings)
	if err := cfg.check(encoded.Seed); err != nil {
		return nil, err
	}
	return cfg, cfg.decode(encoded)
}

// rewriteTimeout is how long a file that ends too soon is read again, since it may still be being written. Without
// that, an instance that starts in that moment would not come up, and a running one would not take the change.
const rewriteTimeout = 500 * time.Millisecond

// contents are those of the file at path, complete if they are so in time, or of the embedded default if path is empty.
func contents(path string) (raw []byte, err error) {
	if path == "" {
		return embedded, nil
	}
	for end := time.Now().Add(rewriteTimeout); ; time.Sleep(rewriteTimeout / 50) {
		raw, err = os.ReadFile(path)
		if err != nil || !truncated(raw) || time.Now().After(end) {
			return raw, err
		}
	}
}

// truncated tells whether a text is the beginning of JSON and no more.
func truncated(raw []byte) bool {
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(new(json.RawMessage))
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// unreadable names the key that can't be read, or the file.
func unreadable(path string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return wrongValue(wrong.Field, "want %s, got %s", typeName(wrong.Type), wrong.Value)
	}
	return fmt.Errorf("configuration %s: %w", path, err)
}

// typeName names what a key must hold, in the terms of the file.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Struct:
		return "an object"
	default:
		return "text"
	}
}

// override puts the environment over the file; where it is read again, the file's discovery stays.
func (f *file) override(env func(string) string, again bool) {
	for variable, value := range map[string]*string{
		"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery,
	} {
		text := env(variable)
		kept := again && variable == "LB_DISCOVERY" && *value != ""
		if text != "" && !kept {
			*value = text
		}
	}
}

// unknownKeys returns a warning for each key that nothing reads.
func unknownKeys(given map[string]json.RawMessage) (warnings []string) {
	warnings = unknownIn("", given, reflect.TypeFor[file]())
	for key, in := range map[string]reflect.Type{
		"limits":   reflect.TypeFor[Limits](),
		"platform": reflect.TypeFor[platform](),
	} {
		var part map[string]json.RawMessage
		if json.Unmarshal(given[key], &part) == nil {
			warnings = append(warnings, unknownIn(key+".", part, in)...)
		}
	}
	return warnings
}

// unknownIn does so for the keys of one struct; prefix stands before them.
func unknownIn(prefix string, given map[string]json.RawMessage, in reflect.Type) (warnings []string) {
	for key := range given {
		known := false
		for i := range in.NumField() {
			known = known || in.Field(i).Tag.Get("json") == key
		}
		if !known {
			warnings = append(warnings, prefix+key+": not a key that is known")
		}
	}
	return warnings
}

// check checks the values that the file holds directly, and reads the seed.
func (c *Config) check(seed string) (err error) {
	if c.Name == "" {
		return &KeyError{Key: "name", Err: errMissing}
	}
	for _, part := range []struct{ key, address string }{
		{"listen", c.Listen}, {"discovery", c.Discovery}, {"platform.address", c.Platform},
	} {
		if !isHostPort(part.address) {
			return wrongValue(part.key, "want host:port, got %q", part.address)
		}
	}
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return wrongValue("seed", "want a hexadecimal number of 64 bits, got %q", seed)
	}
	return c.Limits.check()
}

// isHostPort tells whether an address has a host and a port other than 0.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number != 0
}

func (l Limits) check() error {
	for _, limit := range []struct {
		key              string
		value, low, high float64
	}{
		{"limits.cores", l.Cores, 0.01, 1024},
		{"limits.memory_mb", l.MemoryMB, 16, 1 << 20},
		{"limits.sockets", float64(l.Sockets), 2 * reservedDescriptors, 1 << 20},
	} {
		if limit.value < limit.low || limit.value > limit.high {
			return wrongValue(limit.key, "want %v to %.0f, got %v", limit.low, limit.high, limit.value)
		}
	}
	return nil
}

// decode reads the parts that have a form of their own.
func (c *Config) decode(encoded file) error {
	if err := c.decodeSettings(encoded.Settings); err != nil {
		return err
	}
	if isPresent(encoded.Known) {
		known, err := discovery.Decode(encoded.Known)
		if err != nil {
			return &KeyError{Key: "known", Err: err}
		}
		known.Kind = decision.CachedSnapshot
		c.Endpoints = &known
	}
	if isPresent(encoded.Platform.News) {
		stage, err := rollout.DecodeStage(encoded.Platform.News)
		if err != nil {
			return &KeyError{Key: "platform.news", Err: err}
		}
		c.Stage = &stage
	}
	return nil
}

func (c *Config) decodeSettings(raw optional) (err error) {
	if !isPresent(raw) {
		return &KeyError{Key: "settings", Err: errMissing}
	}
	if c.Values, err = settings.Flatten(raw); err != nil {
		return &KeyError{Key: "settings", Err: err}
	}
	if c.Settings, err = settings.ForModule(c.Values); err != nil {
		return err
	}
	c.Network, err = settings.ForNetwork(c.Values)
	return err
}

// isPresent tells whether a part is there and holds something.
func isPresent(part optional) bool {
	text := strings.TrimSpace(string(part))
	return text != "" && text != "null" && text != "{}"
}
