package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// membershipFile is a valid operator's file with membership enabled.
const membershipFile = `[admin]
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

// operatorCase replaces one text of membershipFile. want is what the error must contain; empty: no error.
type operatorCase struct{ old, new, want string }

// Each error names the key or the line, since operators read it to correct the file.
func TestReadOperator(t *testing.T) {
	for name, test := range map[string]operatorCase{
		"unchanged":                    {},
		"off":                          {"enabled = true", "enabled = false", ""},
		"unknown key":                  {"cluster", "clutser", "line 5: membership.clutser: unknown key"},
		"not TOML":                     {"enabled = true", "enabled = ", "line 4: "},
		"number for a duration":        {`"3s"`, "3", "line 7: membership.bear-pause"},
		"not a duration":               {`"3s"`, `"soon"`, "membership.bear-pause: want a duration like 4s"},
		"detection timeout too short":  {`"9s"`, `"3.1s"`, "membership.detect-within: want at least"},
		"admin on all interfaces":      {"127.0.0.1:8081", "0.0.0.0:8081", "admin.listen: want a loopback address"},
		"admin without ip:port":        {"127.0.0.1:8081", "localhost", "admin.listen: want ip:port"},
		"key file missing":             {`"key"`, `"no-key"`, "membership.key-file: "},
		"key too short":                {`"key"`, `"short"`, "membership.key-file: want a key of at least 16 bytes"},
		"key empty":                    {`"key"`, `"empty"`, "membership.key-file: "},
		"instance not among the seeds": {`name = "n0"`, `name = "n7"`, `membership.bind: missing, and membership.seeds has no entry for "n0"`},
		"seed address without a port":  {"127.0.0.2:7946", "127.0.0.2", "membership.seeds[1].address: want ip:port"},
		"duplicate seed":               {`name = "n1"`, `name = "n0"`, "membership.seeds[1].name"},
		"cluster too long":             {`"town"`, `"` + strings.Repeat("t", 33) + `"`, "membership.cluster: want 32 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			operator, err := test.read(t)
			switch {
			case test.want == "" && err != nil:
				t.Errorf("got error %v, want none", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got error %v, want %q", err, test.want)
			case test.want == "" && (name == "off") != (operator.Membership == nil):
				t.Errorf("got membership %+v, want it set: %v", operator.Membership, name != "off")
			case test.want == "" && name != "off":
				checkMembershipConfig(t, operator)
			}
		})
	}
}

// read writes the changed file and its key files, and reads it as the operator's file of n0.
func (c operatorCase) read(t *testing.T) (*Operator, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"operator.toml": strings.Replace(membershipFile, c.old, c.new, 1),
		"key":           "0123456789abcdef\n", "short": "0123", "empty": "\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return ReadOperator(filepath.Join(dir, "operator.toml"), "n0")
}

// checkMembershipConfig checks the values that membershipFile sets for membership.
func checkMembershipConfig(t *testing.T, operator *Operator) {
	t.Helper()
	member := operator.Membership
	if member.Bind != "127.0.0.1:7946" || len(member.Codec.Key) != 16 || member.Membership.ToleratedPause != 3000 ||
		!strings.Contains(operator.String(), "packets sealed, 2 seeds") {
		t.Errorf("got membership %+v, listed as\n%s\nwant bind 127.0.0.1:7946, a key of 16 bytes, a tolerated pause of 3000 ms, "+
			"listed with \"packets sealed, 2 seeds\"", member, operator)
	}
}

// The operator's file in deploy is valid and enables nothing, and the deploy file does not pass it to the program.
func TestShippedOperatorFile(t *testing.T) {
	o, err := ReadOperator("../../deploy/operator.toml", "n0")
	if err != nil || o.Membership != nil || o.Admin != "" {
		t.Errorf("deploy/operator.toml: got %+v, error %v, want all parts off", o, err)
	}
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil || strings.Contains(string(raw), "--operator") {
		t.Errorf("error %v, or run in deploy/balancer.toml has the flag --operator, want neither", err)
	}
}
