package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestOperator(t *testing.T) {
	const good = `[admin]
listen = "127.0.0.1:8081"
[membership]
enabled = true
cluster = "town"
key-file = "key"
bear-pause = "3s"
detect-within = "9s"
[[membership.seeds]]
name = "n0"
address = "127.0.0.1:7946"
[[membership.seeds]]
name = "n1"
address = "127.0.0.2:7946"
`
	for name, tc := range map[string]struct{ old, new, want string }{
		"as it is":        {"", "", ""},
		"off":             {"enabled = true", "enabled = false", ""},
		"unknown":         {"cluster", "clutser", "line 5: membership.clutser: not a key"},
		"not TOML":        {"enabled = true", "enabled = ", "line 4: "},
		"a number":        {`"3s"`, "3", "line 7: membership.bear-pause"},
		"no time":         {`"3s"`, `"soon"`, "membership.bear-pause: want a time like 4s"},
		"too short":       {`"9s"`, `"3.1s"`, "membership.detect-within: want at least"},
		"admin to all":    {"127.0.0.1:8081", "0.0.0.0:8081", "admin.listen: want an address of loopback"},
		"admin elsewhere": {"127.0.0.1:8081", "localhost", "admin.listen: want ip:port"},
		"no key there":    {`"key"`, `"no-key"`, "membership.key-file: "},
		"key too short":   {`"key"`, `"short"`, "membership.key-file: want a key of 16 bytes"},
		"key empty":       {`"key"`, `"empty"`, "membership.key-file: "},
		"not a seed":      {`name = "n0"`, `name = "n7"`, `membership.bind: missing, and membership.seeds names no "n0"`},
		"seed's address":  {"127.0.0.2:7946", "127.0.0.2", "membership.seeds[1].address: want ip:port"},
		"seed twice":      {`name = "n1"`, `name = "n0"`, "membership.seeds[1].name"},
		"cluster":         {`"town"`, `"` + strings.Repeat("t", 33) + `"`, "membership.cluster: want 32 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "operator.toml")
			for file, text := range map[string]string{
				"operator.toml": strings.Replace(good, tc.old, tc.new, 1),
				"key":           "0123456789abcdef\n", "short": "0123", "empty": "\n",
			} {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			o, err := ReadOperator(path, "n0")
			switch {
			case tc.want != "":
				if err == nil || !strings.Contains(err.Error(), tc.want) {
					t.Errorf("want %q, got %v", tc.want, err)
				}
			case err != nil:
				t.Error(err)
			case name == "off" && o.Membership != nil || name != "off" && o.Membership == nil:
				t.Errorf("%+v", o)
			case o.Membership != nil && (o.Membership.Bind != "127.0.0.1:7946" || len(o.Membership.Codec.Key) != 16 ||
				o.Membership.Membership.ToleratedPause != 3000 || !strings.Contains(o.String(), "packets sealed, 2 seeds")):
				t.Errorf("%+v\n%s", o.Membership, o)
			}
		})
	}
}

// The file that is shipped is sound, and switches nothing on.
func TestOperatorAsShipped(t *testing.T) {
	o, err := ReadOperator("../../deploy/operator.toml", "n0")
	if err != nil || o.Membership != nil || o.Admin != "" {
		t.Errorf("%+v, %v", o, err)
	}
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil || strings.Contains(string(raw), "--operator") {
		t.Errorf("run takes an operator's file, or %v", err)
	}
}
