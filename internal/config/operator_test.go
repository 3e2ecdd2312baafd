package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// soundOperator is an operator's file that is sound, with membership on.
const soundOperator = `[admin]
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

// operatorCase is a change to the sound file, and what the error must contain; empty: the file is sound.
type operatorCase struct{ old, new, want string }

// The texts go to the operators; each names the key or the line.
func TestOperator(t *testing.T) {
	for name, test := range map[string]operatorCase{
		"as it is":        {},
		"off":             {"enabled = true", "enabled = false", ""},
		"unknown":         {"cluster", "clutser", "line 5: membership.clutser: not a key"},
		"not TOML":        {"enabled = true", "enabled = ", "line 4: "},
		"a number":        {`"3s"`, "3", "line 7: membership.bear-pause"},
		"no time":         {`"3s"`, `"soon"`, "membership.bear-pause: want a time like 4s"},
		"too short":       {`"9s"`, `"3.1s"`, "membership.detect-within: want at least"},
		"admin to all":    {"127.0.0.1:8081", "0.0.0.0:8081", "admin.listen: want a loopback address"},
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
			operator, err := test.read(t)
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("want %q, got %v", test.want, err)
			case test.want == "" && (name == "off") != (operator.Membership == nil):
				t.Errorf("%+v", operator)
			case test.want == "" && name != "off":
				checkSoundMembership(t, operator)
			}
		})
	}
}

// read reads the changed file, with key files beside it.
func (c operatorCase) read(t *testing.T) (*Operator, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"operator.toml": strings.Replace(soundOperator, c.old, c.new, 1),
		"key":           "0123456789abcdef\n", "short": "0123", "empty": "\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return ReadOperator(filepath.Join(dir, "operator.toml"), "n0")
}

// checkSoundMembership checks what the sound file says of membership.
func checkSoundMembership(t *testing.T, operator *Operator) {
	t.Helper()
	member := operator.Membership
	if member.Bind != "127.0.0.1:7946" || len(member.Codec.Key) != 16 || member.Membership.ToleratedPause != 3000 ||
		!strings.Contains(operator.String(), "packets sealed, 2 seeds") {
		t.Errorf("%+v\n%s", member, operator)
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
