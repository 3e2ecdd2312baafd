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

// validOperatorFile is an operator's file with every part enabled.
const validOperatorFile = `[admin]
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

// textChange replaces one text in a valid file. If old is empty, new replaces the whole file.
type textChange struct{ title, old, new string }

func (c textChange) apply(t *testing.T, text string) string {
	t.Helper()
	if c.old == "" {
		return c.new
	}
	if !strings.Contains(text, c.old) {
		t.Fatalf("%s: the valid file has no %s", c.title, c.old)
	}
	return strings.Replace(text, c.old, c.new, 1)
}

var configurationChanges = []textChange{
	{"incomplete file", "", `{"name":"n3"`},
	{"array", "", `[]`},
	{"not JSON", "", `{"name":n3}`},
	{"name missing", `"name":"n3"`, `"name":""`},
	{"name is a number", `"name":"n3"`, `"name":3`},
	{"listen without a port", "127.0.0.4:8080", "127.0.0.4"},
	{"discovery at port 0", "127.2.0.1:8500", "127.2.0.1:0"},
	{"platform without a host", "127.2.0.2:6400", ":6400"},
	{"platform is a string", `"platform":{"address":"127.2.0.2:6400",`, `"platform":"x","odd":{`},
	{"seed not a number", "8c1f30d27a5be964", "seed"},
	{"too many cores", `"cores":1.0`, `"cores":4096`},
	{"memory is a string", `"memory_mb":192`, `"memory_mb":"much"`},
	{"too few sockets", `"sockets":1024`, `"sockets":10`},
	{"sockets is a fraction", `"sockets":1024`, `"sockets":1.5`},
	{"limits is an array", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024}`, `"limits":[]`},
	{"news: unknown progress", `"progress":"testing"`, `"progress":"odd"`},
	{"news: string for a number", `"ring":1`, `"ring":"one"`},
	{"known: index missing", `"index":41,`, ``},
	{"known: unknown status", `"status":"Ready"`, `"status":"Odd"`},
	{"known: string for a number", `"status":"Ready"`, `"weight":"one"`},
	{"settings missing", `"settings":{`, `"other":{`},
	{"settings is a string", `"settings":{`, `"settings":"x","other":{`},
	{"settings: number missing", `"n-instances":3,`, ``},
	{"settings: number out of range", `"cold-from":0.35`, `"cold-from":7`},
	{"settings: string for a number", `"give-up-ms":1500`, `"give-up-ms":"x"`},
	{"settings: unknown idempotency of a request class", `"idempotency":"safe"`, `"idempotency":"odd"`},
	{"settings: request class without a name", `"name":"read",`, ``},
	{"settings: caps and waves of different length", `"caps":[1]`, `"caps":[0.5,1]`},
	{"unknown key (a warning)", `"cores":1.0`, `"cores":1.0,"odd":1`},
	{"unchanged", `"name":"n3"`, `"name":"n3"`},
}

var operatorFileChanges = []textChange{
	{"unknown key", "cluster", "clutser"},
	{"not TOML", "enabled = true", "enabled = "},
	{"number for a duration", `"3s"`, "3"},
	{"string for a boolean", "enabled = true", `enabled = "yes"`},
	{"array for a string", `listen = "127.0.0.1:8081"`, "listen = [1]"},
	{"not a duration", `"3s"`, `"soon"`},
	{"detection timeout too short", `"9s"`, `"3.1s"`},
	{"admin on all interfaces", "127.0.0.1:8081", "0.0.0.0:8081"},
	{"admin without ip:port", "127.0.0.1:8081", "localhost"},
	{"key file missing", `"key"`, `"no-key"`},
	{"key too short", `"key"`, `"short"`},
	{"instance not among the seeds", `name = "n3"`, `name = "n7"`},
	{"seed address without a port", "127.0.0.1:7946", "127.0.0.1"},
	{"cluster too long", `"town"`, `"` + strings.Repeat("t", 33) + `"`},
	{"policy without a directory", "dir = \"store\"\n", ""},
	{"policy: election timeout too short", `"1s"`, `"1ms"`},
	{"policy without servers", "[[policy.servers]]\nname = \"n3\"\naddress = \"127.0.0.1:7947\"\n", ""},
	{"policy: server address invalid", "127.0.0.1:7947", "here"},
	{"takeover without membership", "enabled = true", "enabled = false"},
	{"takeover: lease too short", `"5s"`, `"2s"`},
	{"takeover: lease not a duration", `"5s"`, `"5"`},
	{"unchanged", `"town"`, `"town"`},
}

// The errors, warnings and listings that operators see for each changed configuration match the golden file exactly. The
// test runs in the directory of the files, so that errors name no temporary directory.
func TestGoldenConfigurations(t *testing.T) {
	var observed string
	t.Run("read", func(t *testing.T) {
		t.Chdir(t.TempDir())
		for _, c := range configurationChanges {
			writeFile(t, "config.json", c.apply(t, validConfig))
			cfg, err := Read("config.json", func(string) string { return "" })
			observed += golden.Section(c.title, output(cfg, err))
		}
		_, err := Read("none.json", func(string) string { return "" })
		observed += golden.Section("no file", output(nil, err))
		cfg, err := Read("", func(string) string { return "" })
		observed += golden.Section("the embedded default", output(cfg, err))
	})
	if err := golden.CheckFile("testdata/configurations.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// goTypeInError matches the Go type and field name that the TOML library writes into an error. A rename changes both, and
// neither is part of the file's format.
var goTypeInError = regexp.MustCompile(`into struct field .*\.\w+ of type`)

// The errors and listings that operators see for each changed operator's file match the golden file exactly, except that
// Go names in errors of the TOML library are replaced by GO-FIELD.
func TestGoldenOperatorFiles(t *testing.T) {
	var observed string
	t.Run("read", func(t *testing.T) {
		t.Chdir(t.TempDir())
		writeFile(t, "key", "0123456789abcdef\n")
		writeFile(t, "short", "0123")
		for _, c := range operatorFileChanges {
			writeFile(t, "operator.toml", c.apply(t, validOperatorFile))
			o, err := ReadOperator("operator.toml", "n3")
			text := ""
			if err == nil {
				text = o.String()
			}
			observed += golden.Section(c.title, text+errorLine(err))
		}
		_, err := ReadOperator("none.toml", "n3")
		observed += golden.Section("no file", errorLine(err))
	})
	observed = goTypeInError.ReplaceAllString(observed, "into struct field GO-FIELD of type")
	if err := golden.CheckFile("testdata/operator-files.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// The keys of the configuration, the operator's file and the policy file, and the environment variables that are read,
// match the golden file. The test of internal/settings covers the keys below settings.
func TestGoldenKeys(t *testing.T) {
	requested := map[string]bool{}
	if _, err := Read("", func(name string) string { requested[name] = true; return "" }); err != nil {
		t.Fatal(err)
	}
	var variables []string
	for name := range requested {
		variables = append(variables, name)
	}
	slices.Sort(variables)
	observed := golden.Section("environment", strings.Join(variables, "\n")+"\n") +
		golden.Section("configuration", listKeys("", "json", reflect.TypeFor[configFile]())) +
		golden.Section("operator's file", listKeys("", "toml", reflect.TypeFor[operatorFile]())) +
		golden.Section("policy's file", listKeys("", "json", reflect.TypeFor[policy.Policy]()))
	if err := golden.CheckFile("testdata/keys.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// listKeys lists the keys that the tags of a struct's fields define, one per line with the kind of its value. It puts
// prefix before each key.
func listKeys(prefix, tag string, structType reflect.Type) string {
	var lines string
	for i := range structType.NumField() {
		field := structType.Field(i)
		name := prefix + field.Tag.Get(tag)
		switch fieldType := field.Type; {
		case fieldType.Kind() == reflect.Struct:
			lines += listKeys(name+".", tag, fieldType)
		case fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct:
			lines += listKeys(name+"[].", tag, fieldType.Elem())
		default:
			lines += fmt.Sprintf("%s: %s\n", name, fieldType.Kind())
		}
	}
	return lines
}

// writeFile writes a file in the working directory.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// output returns what check-config prints for a configuration: the error, or the warnings and the listing.
func output(cfg *Config, err error) string {
	if err != nil {
		return errorLine(err)
	}
	text := ""
	for _, w := range cfg.Warnings {
		text += "warning: " + w + "\n"
	}
	return text + cfg.String()
}

func errorLine(err error) string {
	if err == nil {
		return ""
	}
	return "error: " + err.Error() + "\n"
}
