package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ottershed/internal/clock"
	"ottershed/internal/testbed/faultinject"
)

// instanceSettings are the settings of each instance, with a placeholder for the number of instances. They are those of
// the documented example for three instances, with times that suit loopback.
const instanceSettings = `{"n-instances":%d,"zone":"z","limits":{"most-tries":5,"cancel":true,"retry-after":true,
"max-retry-after-ms":50,"conn-idle-ms":30000,"connect-timeout-ms":250},"rules":{"cold-from":0.35,"warm-after-ms":1000,
"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20,"drain-grace-ms":250},"domain":{
"caps":[0.3,1],"waves":[0.3,1],"uncounted":1,
"guarded-stages":0,"keys-stay":false,"on-votes":1,"votes-to-revert":1,"vote-wait-ms":300,"vote-ttl-ms":3000},
"services":[
{"name":"read","aim-ms":200,"give-up-ms":1000,"idempotency":"safe"},
{"name":"send-text","aim-ms":200,"give-up-ms":1000,"idempotency":"unsafe"}]}`

// filePermissions applies to all files of a fleet, because one of them holds the key of the cluster.
const filePermissions = 0o600

// newProcess returns an instance's process. Its files must have been written.
func (f *Fleet) newProcess(i int) *faultinject.Process {
	env := slices.Clone(f.settings.Env)
	if clocks := f.settings.Clocks; len(clocks) > 0 {
		env = append(env, clock.TestbedEnv+"="+clocks[i%len(clocks)])
	}
	return &faultinject.Process{
		Name: f.names[i], Path: f.settings.Program, Env: env, Log: f.FilePath(i, "log"),
		Args: []string{"serve", "--config", f.FilePath(i, "json"), "--operator", f.FilePath(i, "toml")},
	}
}

// writeFiles writes an instance's configuration and its operator file.
func (f *Fleet) writeFiles(i int) error {
	keyLine, err := f.writeKeyFile()
	if err != nil {
		return err
	}
	operator, err := f.operatorFile(i, keyLine)
	if err != nil {
		return err
	}
	for extension, text := range map[string]string{"json": f.configuration(i), "toml": operator} {
		if err := os.WriteFile(f.FilePath(i, extension), []byte(text), filePermissions); err != nil {
			return fmt.Errorf("write configuration of %s: %w", f.names[i], err)
		}
	}
	return nil
}

// configuration returns the text of an instance's configuration.
func (f *Fleet) configuration(i int) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"platform":{"address":%q},"settings":%s}`, f.names[i], f.RequestAddress(i), f.settings.Platform.Discovery(),
		f.settings.Seed*1000+uint64(i)+1, f.settings.Platform.Controller().Address(),
		fmt.Sprintf(instanceSettings, f.settings.Instances))
}

// writeKeyFile writes the key file of the cluster and returns the line of an operator file that refers to it, or "" if
// there is no key.
func (f *Fleet) writeKeyFile() (string, error) {
	if f.settings.Key == "" {
		return "", nil
	}
	path := filepath.Join(f.settings.Dir, "key")
	if err := os.WriteFile(path, []byte(f.settings.Key+"\n"), filePermissions); err != nil {
		return "", fmt.Errorf("write cluster key: %w", err)
	}
	return "key-file = \"key\"\n", nil
}

// operatorFile returns the text of an instance's operator file.
func (f *Fleet) operatorFile(i int, keyLine string) (string, error) {
	var seeds strings.Builder
	for s := range f.names {
		if f.settings.Seeds == 0 || s < f.settings.Seeds {
			fmt.Fprintf(&seeds, "[[membership.seeds]]\nname = %q\naddress = %q\n", f.names[s], f.relayAddresses[s])
		}
	}
	policy, err := f.policySection(i, keyLine)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("[admin]\nlisten = %q\n\n[membership]\nenabled = true\ncluster = \"lab\"\n"+
		"bind = %q\nadvertise = %q\n%sbear-pause = %q\ndetect-within = %q\n%s\n%s",
		f.AdminAddress(i), f.address(i, memberPort), f.relayAddresses[i], keyLine,
		f.settings.ToleratedPause.String(), f.settings.DetectionTimeout.String(), seeds.String(), policy), nil
}

// policySection returns the policy and takeover sections of an instance's operator file, or "" without policy servers.
// The instance reaches each server through a relay of its own, so that faults affect only that pair.
func (f *Fleet) policySection(i int, keyLine string) (string, error) {
	if f.settings.Servers == 0 {
		return "", nil
	}
	var section strings.Builder
	fmt.Fprintf(&section, "[policy]\nenabled = true\ndir = %q\nbind = %q\n%select-within = %q\n", f.names[i]+".store",
		f.address(i, policyPort), keyLine, f.settings.ElectionTimeout.String())
	for s := range f.settings.Servers {
		address := f.address(s, policyPort)
		if s != i {
			var err error
			if address, err = f.streams.AddRelay(f.names[i], f.names[s], address); err != nil {
				return "", err
			}
		}
		fmt.Fprintf(&section, "[[policy.servers]]\nname = %q\naddress = %q\n", f.names[s], address)
	}
	if f.settings.LeaseTTL > 0 {
		fmt.Fprintf(&section, "[takeover]\nenabled = true\nlease = %q\n", f.settings.LeaseTTL.String())
	}
	return section.String(), nil
}
