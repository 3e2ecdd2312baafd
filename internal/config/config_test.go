package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ottershed/internal/settings"
)

// validConfig is a valid configuration file.
const validConfig = `{"name":"n3","listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"platform":{"address":"127.2.0.2:6400","news":{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"10.1.0.18:8080","status":"Ready"}]},
"settings":{"n-instances":3,"limits":{"most-tries":5,"conn-idle-ms":30000,"connect-timeout-ms":250},
"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20},
"domain":{"caps":[1],"waves":[1],"uncounted":1,"guarded-stages":0},
"services":[{"name":"read","aim-ms":400,"give-up-ms":1500,"idempotency":"safe"}]}}`

// read writes text to a file and reads the file as the configuration.
func read(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path, func(key string) string { return env[key] })
}

func TestRead(t *testing.T) {
	c, err := read(t, validConfig, map[string]string{"LB_NAME": "n4", "LB_LISTEN": "127.0.0.5:1"})
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(c.Name, c.Listen, c.Discovery, c.Platform, c.Seed, c.Limits, c.Network, len(c.Settings.Classes),
		c.Endpoints.Kind, c.Endpoints.Version, len(c.Endpoints.Endpoints), c.Stage.Build, c.Stage.Age, c.Warnings)
	want := fmt.Sprint("n4", "127.0.0.5:1", "127.2.0.1:8500", "127.2.0.2:6400", uint64(0x8c1f30d27a5be964), Limits{1, 192, 1024},
		c.Network, 1, 2, 41, 1, 42, 310.0, []string(nil))
	if got != want {
		t.Errorf("fields of the configuration: got %s, want %s", got, want)
	}
}

// On a reload the file's discovery takes precedence over the environment's, and the keys that need a restart are
// reported.
func TestRereadPrefersFileDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(key string) string {
		return map[string]string{"LB_DISCOVERY": "127.2.0.9:1", "LB_NAME": "n4"}[key]
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validConfig)
	first, err := Read(path, env)
	if err != nil || first.Discovery != "127.2.0.9:1" {
		t.Fatalf("read at the start: got configuration %+v, error %v, want discovery 127.2.0.9:1", first, err)
	}
	for _, test := range []struct{ old, new, discovery, restartKeys string }{
		{"", "", "127.2.0.1:8500", ""},
		{`127.2.0.1:8500`, `127.2.0.7:8500`, "127.2.0.7:8500", ""},
		{`"discovery":"127.2.0.1:8500",`, ``, "127.2.0.9:1", ""},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"1"`, "127.2.0.1:8500", ""},
		{`"sockets":1024`, `"sockets":512`, "127.2.0.1:8500", "limits"},
		{`"aim-ms":400`, `"aim-ms":300`, "127.2.0.1:8500", "settings"},
		{`"give-up-ms":1500`, `"give-up-ms":900`, "127.2.0.1:8500", "settings"},
		{`127.0.0.4:8080`, `127.0.0.4:8081`, "127.2.0.1:8500", "listen"},
	} {
		write(strings.Replace(validConfig, test.old, test.new, 1))
		next, err := Reread(path, env)
		if err != nil {
			t.Fatalf("reread with %q in place of %q: %v", test.new, test.old, err)
		}
		restartKeys := strings.Join(first.KeysNeedingRestart(next), ",")
		if next.Discovery != test.discovery || restartKeys != test.restartKeys {
			t.Errorf("%s: got discovery %s, keys that need a restart %q, want %s, %q", test.new, next.Discovery, restartKeys,
				test.discovery, test.restartKeys)
		}
	}
}

// A file that is read while it is being written is read again, at the start and on a reload. A file that stays incomplete
// is an error.
func TestIncompleteFileIsReadAgain(t *testing.T) {
	for name, read := range map[string]func(string, func(string) string) (*Config, error){"Read": Read, "Reread": Reread} {
		for _, length := range []int{0, 1, len(validConfig) / 2, strings.Index(validConfig, "true") + 2, len(validConfig) - 1} {
			t.Run(fmt.Sprint(name, length), func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "config.json")
				if err := syscall.Mkfifo(path, 0o600); err != nil {
					t.Skip("the system has no FIFOs")
				}
				written := make(chan error, 1)
				go func() { written <- writeInParts(path, length) }()
				c, err := read(path, func(string) string { return "" })
				if err != nil || c.Name != "n3" {
					t.Errorf("file with %d bytes at the first read: got configuration %+v, error %v, want the one of n3", length, c, err)
				}
				if err := <-written; err != nil {
					t.Errorf("write the configuration in two parts: %v", err)
				}
			})
		}
	}
	var syntax *json.SyntaxError
	_, err := read(t, validConfig[:len(validConfig)/2], nil)
	if !errors.As(err, &syntax) || syntax.Error() != "unexpected end of JSON input" {
		t.Errorf("incomplete file: got error %v, want a JSON syntax error", err)
	}
}

// writeInParts writes the first length bytes of the valid configuration into the FIFO at path. It replaces the FIFO by a
// file with the whole configuration, which the next read gets.
func writeInParts(path string, length int) error {
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once a reader has opened the FIFO
	if err != nil {
		return err
	}
	if err = os.Remove(path); err == nil {
		err = os.WriteFile(path, []byte(validConfig), 0o600)
	}
	_, writeErr := pipe.WriteString(validConfig[:length])
	return errors.Join(err, writeErr, pipe.Close())
}

// Operators read these errors, so the expected types are JSON types rather than Go types.
func TestErrorTexts(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"cores":1.0`, `"cores":"one"`, "limits.cores: want a number, got string"},
		{`"sockets":1024`, `"sockets":1.5`, "limits.sockets: want an integer, got number 1.5"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets: want 64 to 1048576, got 10"},
		{`"name":"n3"`, `"name":3`, "name: want a string, got number"},
		{`"cold-from":0.35`, `"cold-from":7`, `settings.rules.cold-from: want a number from 0 to 1, got "7"`},
		{`"give-up-ms":1500`, `"give-up-ms":"x"`, `settings.services.0.give-up-ms: want a number of 1 or more, got "x"`},
	} {
		_, err := read(t, strings.Replace(validConfig, test.old, test.new, 1), nil)
		if err == nil || err.Error() != test.want {
			t.Errorf("%s in place of %s: got error %v, want %s", test.new, test.old, err, test.want)
		}
	}
}

// errorKey returns the invalid key that an error names, "the file" for a syntax error, and otherwise an empty string.
func errorKey(err error) string {
	var keyError *KeyError
	if errors.As(err, &keyError) {
		return keyError.Key
	}
	var fieldError settings.FieldError
	if errors.As(err, &fieldError) {
		return "settings." + fieldError.Key
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return "the file"
	}
	return ""
}

// Each invalid value in an otherwise valid file causes an error or a warning that names the key.
func TestInvalidValueIsReportedByKey(t *testing.T) {
	for _, test := range []struct{ old, new, errorKey, warning string }{
		{`{`, ``, "the file", ""},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores", ""},
		{`"cores":1.0`, `"cores":0`, "limits.cores", ""},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb", ""},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets", ""},
		{`"name":"n3"`, `"name":""`, "name", ""},
		{`"listen":"127.0.0.4:8080"`, `"listen":"here"`, "listen", ""},
		{`"listen":"127.0.0.4:8080"`, `"listen":4`, "listen", ""},
		{`"discovery":"127.2.0.1:8500"`, `"discovery":"127.2.0.1:0"`, "discovery", ""},
		{`"address":"127.2.0.2:6400"`, `"address":":6400"`, "platform.address", ""},
		{`8c1f30d27a5be964`, `seed`, "seed", ""},
		{`"progress":"testing"`, `"progress":"odd"`, "platform.news", ""},
		{`"index":41,`, ``, "known", ""},
		{`"status":"Ready"`, `"status":"Odd"`, "known", ""},
		{`"settings":{`, `"other":{`, "settings", ""},
		{`"n-instances":3,`, ``, "settings.n-instances", ""},
		{`"cold-from":0.35`, `"cold-from":7`, "settings.rules.cold-from", ""},
		{`"give-up-ms":1500`, `"give-up-ms":"x"`, "settings.services.0.give-up-ms", ""},
		{`"news":{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}`, `"news":null`, "", ""},
		{`"name":"n3"`, `"name":"n3","odd":1`, "", "odd"},
		{`"cores":1.0`, `"cores":1.0,"odd":1`, "", "limits.odd"},
	} {
		t.Run(test.new, func(t *testing.T) {
			c, err := read(t, strings.Replace(validConfig, test.old, test.new, 1), nil)
			switch {
			case test.errorKey != "" && errorKey(err) != test.errorKey:
				t.Errorf("got error %v, want one that names %s", err, test.errorKey)
			case test.errorKey == "" && err != nil:
				t.Errorf("got error %v, want none", err)
			case test.errorKey == "" && !strings.HasPrefix(strings.Join(c.Warnings, ","), test.warning):
				t.Errorf("got warnings %v, want one for %s", c.Warnings, test.warning)
			}
		})
	}
	var missing *fs.PathError
	_, err := Read("/none/such", func(string) string { return "" })
	if !errors.Is(err, fs.ErrNotExist) || !errors.As(err, &missing) || missing.Path != "/none/such" {
		t.Errorf("got error %v, want fs.ErrNotExist for /none/such", err)
	}
}

// The number of connections is the lower of what the memory and the descriptors allow.
func TestConnectionsFollowFromLimits(t *testing.T) {
	for _, test := range []struct {
		memory  float64
		sockets int
		want    int
	}{{192, 1024, 496}, {192, 4096, 512}, {2048, 4096, 2032}, {16, 64, 16}, {16, 1024, 42}} {
		if got := (Limits{1, test.memory, test.sockets}).Connections(); got != test.want {
			t.Errorf("%g MB, %d descriptors: got %d connections, want %d", test.memory, test.sockets, got, test.want)
		}
	}
}
