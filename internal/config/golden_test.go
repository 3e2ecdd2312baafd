package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/golden"
)

// goldenOperator is an operator's file that is sound.
const goldenOperator = `[admin]
listen = "127.0.0.1:8081"
[membership]
enabled = true
cluster = "town"
key-file = "key"
bear-pause = "3s"
detect-within = "9s"
[[membership.seeds]]
name = "n3"
address = "127.0.0.1:7946"
[policy]
enabled = true
dir = "store"
elect-within = "1s"
[[policy.servers]]
name = "n3"
address = "127.0.0.1:7947"
[takeover]
enabled = true
lease = "5s"
`

// change makes a sound text a broken one; an empty old text has new as the whole file.
type change struct{ title, old, new string }

func (c change) of(t *testing.T, sound string) string {
	t.Helper()
	if c.old == "" {
		return c.new
	}
	if !strings.Contains(sound, c.old) {
		t.Fatalf("%s: the sound file has no %s", c.title, c.old)
	}
	return strings.Replace(sound, c.old, c.new, 1)
}

var brokenConfigurations = []change{
	{"cut short", "", `{"name":"n3"`},
	{"a list", "", `[]`},
	{"not JSON", "", `{"name":n3}`},
	{"name missing", `"name":"n3"`, `"name":""`},
	{"name a number", `"name":"n3"`, `"name":3`},
	{"listen without a port", "127.0.0.4:8080", "127.0.0.4"},
	{"discovery at port 0", "127.2.0.1:8500", "127.2.0.1:0"},
	{"platform without a host", "127.2.0.2:6400", ":6400"},
	{"platform a text", `"platform":{"address":"127.2.0.2:6400",`, `"platform":"x","odd":{`},
	{"seed no number", "8c1f30d27a5be964", "seed"},
	{"cores too many", `"cores":1.0`, `"cores":4096`},
	{"memory a text", `"memory_mb":192`, `"memory_mb":"much"`},
	{"sockets too few", `"sockets":1024`, `"sockets":10`},
	{"sockets in parts", `"sockets":1024`, `"sockets":1.5`},
	{"limits a list", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024}`, `"limits":[]`},
	{"news: an odd word", `"progress":"testing"`, `"progress":"odd"`},
	{"news: a figure that is a text", `"ring":1`, `"ring":"one"`},
	{"known without its index", `"index":41,`, ``},
	{"known: an odd word", `"status":"Ready"`, `"status":"Odd"`},
	{"known: a figure that is a text", `"status":"Ready"`, `"weight":"one"`},
	{"settings missing", `"settings":{`, `"other":{`},
	{"settings a text", `"settings":{`, `"settings":"x","other":{`},
	{"settings: a figure missing", `"n-instances":3,`, ``},
	{"settings: a figure out of range", `"cold-from":0.35`, `"cold-from":7`},
	{"settings: a figure that is a text", `"give-up-ms":1500`, `"give-up-ms":"x"`},
	{"settings: an odd kind of path group", `"idempotency":"safe"`, `"idempotency":"odd"`},
	{"settings: a path group without a name", `"name":"read",`, ``},
	{"settings: caps and waves differ", `"caps":[1]`, `"caps":[0.5,1]`},
	{"a key that is not known (a warning)", `"cores":1.0`, `"cores":1.0,"odd":1`},
	{"as it is", `"name":"n3"`, `"name":"n3"`},
}

var brokenOperatorFiles = []change{
	{"a key that is not known", "cluster", "clutser"},
	{"not TOML", "enabled = true", "enabled = "},
	{"a figure for a time", `"3s"`, "3"},
	{"a text for a switch", "enabled = true", `enabled = "yes"`},
	{"a table for a text", `listen = "127.0.0.1:8081"`, "listen = [1]"},
	{"no time", `"3s"`, `"soon"`},
	{"too short to detect", `"9s"`, `"3.1s"`},
	{"admin for all", "127.0.0.1:8081", "0.0.0.0:8081"},
	{"admin no address", "127.0.0.1:8081", "localhost"},
	{"no key file", `"key"`, `"no-key"`},
	{"key too short", `"key"`, `"short"`},
	{"not among the seeds", `name = "n3"`, `name = "n7"`},
	{"a seed's address", "127.0.0.1:7946", "127.0.0.1"},
	{"cluster too long", `"town"`, `"` + strings.Repeat("t", 33) + `"`},
	{"policy without a directory", "dir = \"store\"\n", ""},
	{"policy: elected too soon", `"1s"`, `"1ms"`},
	{"policy without servers", "[[policy.servers]]\nname = \"n3\"\naddress = \"127.0.0.1:7947\"\n", ""},
	{"policy: a server's address", "127.0.0.1:7947", "here"},
	{"takeover without membership", "enabled = true", "enabled = false"},
	{"takeover: lease too short", `"5s"`, `"2s"`},
	{"takeover: lease no time", `"5s"`, `"5"`},
	{"as it is", `"town"`, `"town"`},
}

// What is said of each broken configuration, what is warned of, and what holds where it is sound, are those of the
// golden file, to the letter. Files are named relative to the directory that the test is in.
func TestGoldenConfigurations(t *testing.T) {
	var observed string
	t.Run("read", func(t *testing.T) {
		t.Chdir(t.TempDir())
		for _, c := range brokenConfigurations {
			store(t, "config.json", c.of(t, good))
			cfg, err := Read("config.json", func(string) string { return "" })
			observed += golden.Section(c.title, said(cfg, err))
		}
		_, err := Read("none.json", func(string) string { return "" })
		observed += golden.Section("no file", said(nil, err))
		cfg, err := Read("", func(string) string { return "" })
		observed += golden.Section("the embedded default", said(cfg, err))
	})
	if err := golden.Check("testdata/configurations.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// goField is where the TOML library writes a Go type and the name of its field into an error. Both change with a
// rename, and neither is a word of the file.
var goField = regexp.MustCompile(`into struct field .*\.\w+ of type`)

// The same of the operator's files. Go's own names in errors of the TOML library stand there as GO-FIELD.
func TestGoldenOperatorFiles(t *testing.T) {
	var observed string
	t.Run("read", func(t *testing.T) {
		t.Chdir(t.TempDir())
		store(t, "key", "0123456789abcdef\n")
		store(t, "short", "0123")
		for _, c := range brokenOperatorFiles {
			store(t, "operator.toml", c.of(t, goldenOperator))
			o, err := ReadOperator("operator.toml", "n3")
			text := ""
			if err == nil {
				text = o.String()
			}
			observed += golden.Section(c.title, text+fault(err))
		}
		_, err := ReadOperator("none.toml", "n3")
		observed += golden.Section("no file", fault(err))
	})
	observed = goField.ReplaceAllString(observed, "into struct field GO-FIELD of type")
	if err := golden.Check("testdata/operator-files.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// The keys of the configuration, of the operator's file and of a policy's file, and the variables of the environment
// that are asked for, are those of the golden file. Those under settings are listed by internal/settings.
func TestGoldenKeys(t *testing.T) {
	asked := map[string]bool{}
	if _, err := Read("", func(name string) string { asked[name] = true; return "" }); err != nil {
		t.Fatal(err)
	}
	var variables []string
	for name := range asked {
		variables = append(variables, name)
	}
	slices.Sort(variables)
	observed := golden.Section("environment", strings.Join(variables, "\n")+"\n") +
		golden.Section("configuration", keys("", "json", reflect.TypeFor[file]())) +
		golden.Section("operator's file", keys("", "toml", reflect.TypeFor[operatorFile]())) +
		golden.Section("policy's file", keys("", "json", reflect.TypeFor[policy.Policy]()))
	if err := golden.Check("testdata/keys.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// keys lists the keys under one, as the tags of a struct's fields name them, each with the kind of its value.
func keys(under, tag string, in reflect.Type) string {
	var lines string
	for i := range in.NumField() {
		field := in.Field(i)
		name := under + field.Tag.Get(tag)
		switch of := field.Type; {
		case of.Kind() == reflect.Struct:
			lines += keys(name+".", tag, of)
		case of.Kind() == reflect.Slice && of.Elem().Kind() == reflect.Struct:
			lines += keys(name+"[].", tag, of.Elem())
		default:
			lines += fmt.Sprintf("%s: %s\n", name, of.Kind())
		}
	}
	return lines
}

// store writes a file in the directory that the test is in.
func store(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// said is what a user reads of a configuration.
func said(cfg *Config, err error) string {
	if err != nil {
		return fault(err)
	}
	text := ""
	for _, w := range cfg.Warnings {
		text += "warning: " + w + "\n"
	}
	return text + cfg.String()
}

func fault(err error) string {
	if err == nil {
		return ""
	}
	return "error: " + err.Error() + "\n"
}
