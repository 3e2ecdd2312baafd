package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const good = `{"name":"n3","listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"platform":{"address":"127.2.0.2:6400","news":{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"10.1.0.18:8080","status":"Ready"}]},
"settings":{"n-instances":3,"limits":{"most-tries":5,"conn-idle-ms":30000,"connect-timeout-ms":250},
"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20},
"domain":{"caps":[1],"waves":[1],"uncounted":1,"guarded-stages":0},
"services":[{"name":"read","aim-ms":400,"give-up-ms":1500,"idempotency":"safe"}]}}`

func read(t *testing.T, text string, env map[string]string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path, func(key string) string { return env[key] })
}

func TestRead(t *testing.T) {
	c, err := read(t, good, map[string]string{"LB_NAME": "n4", "LB_LISTEN": "127.0.0.5:1"})
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(c.Name, c.Listen, c.Discovery, c.Platform, c.Seed, c.Limits, c.Network, len(c.Settings.Classes),
		c.Endpoints.Kind, c.Endpoints.Version, len(c.Endpoints.Endpoints), c.Stage.Build, c.Stage.Age, c.Warnings)
	want := fmt.Sprint("n4", "127.0.0.5:1", "127.2.0.1:8500", "127.2.0.2:6400", uint64(0x8c1f30d27a5be964), Limits{1, 192, 1024},
		c.Network, 1, 2, 41, 1, 42, 310.0, []string(nil))
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Read again, the file's discovery comes before that of the environment, and what needs a restart is named.
func TestReread(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(key string) string {
		return map[string]string{"LB_DISCOVERY": "127.2.0.9:1", "LB_NAME": "n4"}[key]
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	first, err := Read(path, env)
	if err != nil || first.Discovery != "127.2.0.9:1" {
		t.Fatal(first, err)
	}
	for _, tc := range []struct{ old, new, discovery, fixed string }{
		{"", "", "127.2.0.1:8500", ""},
		{`127.2.0.1:8500`, `127.2.0.7:8500`, "127.2.0.7:8500", ""},
		{`"discovery":"127.2.0.1:8500",`, ``, "127.2.0.9:1", ""},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"1"`, "127.2.0.1:8500", ""},
		{`"sockets":1024`, `"sockets":512`, "127.2.0.1:8500", "limits"},
		{`"aim-ms":400`, `"aim-ms":300`, "127.2.0.1:8500", "settings"},
		{`"give-up-ms":1500`, `"give-up-ms":900`, "127.2.0.1:8500", "settings"},
		{`127.0.0.4:8080`, `127.0.0.4:8081`, "127.2.0.1:8500", "listen"},
	} {
		write(strings.Replace(good, tc.old, tc.new, 1))
		next, err := Reread(path, env)
		if err != nil {
			t.Fatal(err)
		}
		if fixed := strings.Join(first.RestartOnly(next), ","); next.Discovery != tc.discovery || fixed != tc.fixed {
			t.Errorf("%s: discovery %s, fixed %q", tc.new, next.Discovery, fixed)
		}
	}
}

// A file that is read while it is written is read again, at the start and later; one that stays a part has an end too.
func TestCutShort(t *testing.T) {
	for name, read := range map[string]func(string, func(string) string) (*Config, error){"Read": Read, "Reread": Reread} {
		for _, part := range []int{0, 1, len(good) / 2, strings.Index(good, "true") + 2, len(good) - 1} {
			t.Run(fmt.Sprint(name, part), func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "config.json")
				if err := syscall.Mkfifo(path, 0o600); err != nil {
					t.Skip("no fifo here")
				}
				failed := make(chan error, 1)
				go func() {
					pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once it is open to read
					if err == nil {
						err = os.Remove(path)
					}
					if err == nil {
						err = os.WriteFile(path, []byte(good), 0o600) // for the next look
					}
					pipe.WriteString(good[:part])
					pipe.Close()
					failed <- err
				}()
				c, err := read(path, func(string) string { return "" })
				if err != nil || c.Name != "n3" {
					t.Error(err)
				}
				if err := <-failed; err != nil {
					t.Error(err)
				}
			})
		}
	}
	if _, err := read(t, good[:len(good)/2], nil); err == nil || !strings.Contains(err.Error(), "unexpected end") {
		t.Errorf("a file that stays a part: %v", err)
	}
}

// What was expected is said in the file's terms.
func TestWanted(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"cores":1.0`, `"cores":"one"`, "limits.cores: want a number, got string"},
		{`"sockets":1024`, `"sockets":1.5`, "limits.sockets: want a whole number, got number 1.5"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets: want 64 to 1048576, got 10"},
		{`"name":"n3"`, `"name":3`, "name: want text, got number"},
		{`"cold-from":0.35`, `"cold-from":7`, `settings.rules.cold-from: want a number from 0 to 1, got "7"`},
		{`"give-up-ms":1500`, `"give-up-ms":"x"`, `settings.services.0.give-up-ms: want a number of 1 or more, got "x"`},
	} {
		if _, err := read(t, strings.Replace(good, tc.old, tc.new, 1), nil); err == nil || err.Error() != tc.want {
			t.Errorf("error %v, want %s", err, tc.want)
		}
	}
}

// Each change to a good file is an error or a warning that names the key.
func TestFaults(t *testing.T) {
	for _, tc := range []struct{ old, new, names, warns string }{
		{`{`, ``, "configuration", ""},
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
		{`"n-instances":3,`, ``, "n-instances", ""},
		{`"cold-from":0.35`, `"cold-from":7`, "rules.cold-from", ""},
		{`"give-up-ms":1500`, `"give-up-ms":"x"`, "services.0.give-up-ms", ""},
		{`"news":{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}`, `"news":null`, "", ""},
		{`"name":"n3"`, `"name":"n3","odd":1`, "", "odd"},
		{`"cores":1.0`, `"cores":1.0,"odd":1`, "", "limits.odd"},
	} {
		t.Run(tc.new, func(t *testing.T) {
			c, err := read(t, strings.Replace(good, tc.old, tc.new, 1), nil)
			switch {
			case tc.names != "" && (err == nil || !strings.HasPrefix(err.Error(), "settings."+tc.names) && !strings.HasPrefix(err.Error(), tc.names)):
				t.Errorf("error %v, want %s named", err, tc.names)
			case tc.names == "" && err != nil:
				t.Error(err)
			case tc.names == "" && !strings.HasPrefix(strings.Join(c.Warnings, ","), tc.warns):
				t.Errorf("warnings %v, want %s", c.Warnings, tc.warns)
			}
		})
	}
	if _, err := Read("/none/such", func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "/none/such") {
		t.Errorf("error %v", err)
	}
}

func TestBudget(t *testing.T) {
	for _, tc := range []struct {
		memory  float64
		sockets int
		want    int
	}{{192, 1024, 496}, {192, 4096, 512}, {2048, 4096, 2032}, {16, 64, 16}, {16, 1024, 42}} {
		if got := (Limits{1, tc.memory, tc.sockets}).Connections(); got != tc.want {
			t.Errorf("%g MB, %d descriptors: %d connections, want %d", tc.memory, tc.sockets, got, tc.want)
		}
	}
}
