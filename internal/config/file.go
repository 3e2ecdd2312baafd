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
	"ottershed/internal/clock"
	"ottershed/internal/discovery"
	"ottershed/internal/rollout"
	"ottershed/internal/settings"
)

// KeyError is returned for a key that is missing, unknown or invalid. For a key below settings, settings.FieldError is
// returned instead.
type KeyError struct {
	Key string // full path of the key, such as limits.cores
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause without the key.
func (e *KeyError) Unwrap() error { return e.Err }

// errMissing is the cause for a required key that the file does not set.
var errMissing = errors.New("missing")

// keyErrorf returns a KeyError with a formatted cause.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// configFile is the JSON form of the platform's file.
type configFile struct {
	Name      string          `json:"name"`      // of the instance
	Listen    string          `json:"listen"`    // host:port
	Discovery string          `json:"discovery"` // host:port
	Seed      string          `json:"seed"`      // a 64-bit number, hexadecimal
	Limits    Limits          `json:"limits"`
	Platform  platformSection `json:"platform"`
	Known     rawSection      `json:"known"`    // an endpoint list, see discovery.Decode
	Settings  rawSection      `json:"settings"` // see settings.Flatten
}

// platformSection is the section of the file about the rollout controller.
type platformSection struct {
	Address string     `json:"address"` // host:port
	News    rawSection `json:"news"`    // a stage update, see rollout.DecodeStage
}

// rawSection is an optional section that another package decodes.
type rawSection = json.RawMessage

// defaultLimits apply where the file sets no limits.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// defaultConfig is the file of an instance that is started without one: for trying the program out on loopback.
//
//go:embed default.json
var defaultConfig []byte

// Read reads the file at path, or the embedded default if path is empty, and applies the environment, which env looks up
// by variable name. The error is a KeyError, a settings.FieldError, or one of reading or decoding the file.
func Read(path string, env func(string) string) (*Config, error) {
	return load(path, env, false)
}

// Reread reads the file again for a running instance. The environment of a process dates from its start, and LB_DISCOVERY
// would keep an address that discovery has moved away from. The file's discovery therefore takes precedence here.
func Reread(path string, env func(string) string) (*Config, error) {
	return load(path, env, true)
}

func load(path string, env func(string) string, isReload bool) (*Config, error) {
	raw, err := readComplete(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	encoded := configFile{Limits: defaultLimits}
	var rawKeys map[string]json.RawMessage
	err = json.Unmarshal(raw, &rawKeys)
	if err == nil {
		err = json.Unmarshal(raw, &encoded)
	}
	if err != nil {
		return nil, decodeError(path, err)
	}
	encoded.applyEnv(env, isReload)
	cfg := &Config{
		Name: encoded.Name, Listen: encoded.Listen, Discovery: encoded.Discovery, Platform: encoded.Platform.Address,
		Limits: encoded.Limits, Warnings: unknownKeys(rawKeys),
	}
	if path == "" {
		cfg.Warnings = append(cfg.Warnings, "config: no file given, using the embedded default")
	}
	slices.Sort(cfg.Warnings)
	if err := cfg.check(encoded.Seed); err != nil {
		return nil, err
	}
	return cfg, cfg.decodeSections(encoded)
}

// rewriteTimeout limits how long readComplete reads an incomplete file again, which may still be being written. Without
// this an instance that starts at that moment would fail, and a running instance would miss the change.
const rewriteTimeout = 500 * time.Millisecond

// readComplete returns the contents of the file at path, or the embedded default if path is empty. It reads an incomplete
// file again until rewriteTimeout, and then returns the incomplete contents.
func readComplete(path string) (raw []byte, err error) {
	if path == "" {
		return defaultConfig, nil
	}
	for end := time.Now().Add(rewriteTimeout); ; time.Sleep(rewriteTimeout / 50) {
		raw, err = os.ReadFile(path)
		if err != nil || !isTruncated(raw) || time.Now().After(end) {
			return raw, err
		}
	}
}

// isTruncated reports whether raw is empty or the beginning of a JSON value that lacks its end.
func isTruncated(raw []byte) bool {
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(new(json.RawMessage))
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// decodeError returns a KeyError for a value of the wrong type whose key is known, and otherwise an error that names the
// file.
func decodeError(path string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return keyErrorf(typeErr.Field, "want %s, got %s", jsonTypeName(typeErr.Type), typeErr.Value)
	}
	return fmt.Errorf("decode configuration %s: %w", path, err)
}

// jsonTypeName returns the JSON type that a Go type is decoded from, for error messages.
func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Struct:
		return "an object"
	default:
		return "a string"
	}
}

// applyEnv replaces values of the file by those of environment variables that are not empty. If isReload is set, it keeps
// the file's discovery unless that is empty.
func (f *configFile) applyEnv(env func(string) string, isReload bool) {
	for variable, value := range map[string]*string{
		"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery,
	} {
		override := env(variable)
		keepsFileValue := isReload && variable == "LB_DISCOVERY" && *value != ""
		if override != "" && !keepsFileValue {
			*value = override
		}
	}
}

// unknownKeys returns a warning for each key of the file, and of its sections limits and platform, that no field decodes.
// Other packages decode the other sections.
func unknownKeys(rawKeys map[string]json.RawMessage) (warnings []string) {
	warnings = unknownFields("", rawKeys, reflect.TypeFor[configFile]())
	for key, structType := range map[string]reflect.Type{
		"limits":   reflect.TypeFor[Limits](),
		"platform": reflect.TypeFor[platformSection](),
	} {
		var section map[string]json.RawMessage
		if json.Unmarshal(rawKeys[key], &section) == nil {
			warnings = append(warnings, unknownFields(key+".", section, structType)...)
		}
	}
	return warnings
}

// unknownFields returns a warning for each key that is not the JSON tag of a field of structType. It puts prefix before the
// keys.
func unknownFields(prefix string, rawKeys map[string]json.RawMessage, structType reflect.Type) (warnings []string) {
	for key := range rawKeys {
		isDecoded := false
		for i := range structType.NumField() {
			isDecoded = isDecoded || structType.Field(i).Tag.Get("json") == key
		}
		if !isDecoded {
			warnings = append(warnings, prefix+key+": unknown key")
		}
	}
	return warnings
}

// check checks the values that have no section decoder of their own, and parses the seed.
func (c *Config) check(seed string) (err error) {
	if c.Name == "" {
		return &KeyError{Key: "name", Err: errMissing}
	}
	for _, entry := range []struct{ key, address string }{
		{"listen", c.Listen}, {"discovery", c.Discovery}, {"platform.address", c.Platform},
	} {
		if !isHostPort(entry.address) {
			return keyErrorf(entry.key, "want host:port, got %q", entry.address)
		}
	}
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return keyErrorf("seed", "want a 64-bit hexadecimal number, got %q", seed)
	}
	return c.Limits.check()
}

// isHostPort reports whether an address is host:port with a host and a port other than 0.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	return err == nil && portNumber != 0
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
			return keyErrorf(limit.key, "want %v to %.0f, got %v", limit.low, limit.high, limit.value)
		}
	}
	return nil
}

// decodeSections decodes the sections that other packages define: settings, which is required, and known and platform.news.
// If one of the latter two is absent, its field in c stays nil.
func (c *Config) decodeSections(encoded configFile) error {
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

func (c *Config) decodeSettings(raw rawSection) (err error) {
	if !isPresent(raw) {
		return &KeyError{Key: "settings", Err: errMissing}
	}
	if c.RawSettings, err = settings.Flatten(raw); err != nil {
		return &KeyError{Key: "settings", Err: err}
	}
	if c.Settings, err = moduleSettings(c.RawSettings); err != nil {
		return err
	}
	c.Network, err = settings.ForNetwork(c.RawSettings)
	return err
}

// moduleSettings returns the settings of the decision module from a map of names and texts, with the limit that the
// protocol of discovery sets. The error is one of settings.ForDecisionModule.
func moduleSettings(texts map[string]string) (decision.Settings, error) {
	values, err := settings.ForDecisionModule(texts)
	values.MaxNotificationDelay = clock.Millis(discovery.MaxNotificationDelay)
	return values, err
}

// isPresent reports whether a section is neither missing, null nor an empty object.
func isPresent(section rawSection) bool {
	trimmed := strings.TrimSpace(string(section))
	return trimmed != "" && trimmed != "null" && trimmed != "{}"
}
