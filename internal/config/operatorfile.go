package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/raftlog"
)

const (
	defaultToleratedPause  = "4s"
	defaultDetection       = "12s"
	defaultMaxMembers      = 4096
	defaultElectionTimeout = "1s"
	defaultLease           = "5s"

	minElectionTimeout   = 50 * time.Millisecond
	minElectionsPerLease = 3 // elections within a lease, which must not cost one
	maxServers           = 9
	minKeyBytes          = 16
)

// operatorFile is the operator's file as it is encoded. Times are texts like 4s or 250ms, see parseDuration.
type operatorFile struct {
	Admin      adminPart      `toml:"admin"`
	Membership membershipPart `toml:"membership"`
	Policy     policyPart     `toml:"policy"`
	Takeover   takeoverPart   `toml:"takeover"`
}

type adminPart struct {
	Listen string `toml:"listen"` // ip:port of loopback; empty: none
}

type membershipPart struct {
	Enabled      bool          `toml:"enabled"`
	Cluster      string        `toml:"cluster"`       // at most 32 bytes; packets of other clusters are dropped
	Bind         string        `toml:"bind"`          // ip:port, UDP; default advertise
	Advertise    string        `toml:"advertise"`     // ip:port; default the address of the instance's own seed, or bind
	KeyFile      string        `toml:"key-file"`      // relative to this file; default none, packets are not sealed
	BearPause    string        `toml:"bear-pause"`    // see membership.Settings.ToleratedPause
	DetectWithin string        `toml:"detect-within"` // see membership.Settings.DetectionTimeout
	MostMembers  int           `toml:"most-members"`  // see membership.Settings.MaxMembers
	Seeds        []addressPart `toml:"seeds"`         // one or more
}

type policyPart struct {
	Enabled     bool          `toml:"enabled"`
	Dir         string        `toml:"dir"`          // of the store, relative to this file; required
	Bind        string        `toml:"bind"`         // ip:port, TCP; default the address of the instance's own server
	KeyFile     string        `toml:"key-file"`     // relative to this file; default none
	ElectWithin string        `toml:"elect-within"` // see raftlog.Config.ElectionTimeout
	Servers     []addressPart `toml:"servers"`      // 1 to 9
}

type takeoverPart struct {
	Enabled bool   `toml:"enabled"` // needs membership and policy
	Lease   string `toml:"lease"`   // see Operator.LeaseTTL
}

// addressPart is where an instance is reached.
type addressPart struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // ip:port
}

// ReadOperator reads the operator's file for the instance of that name. The error names the key at fault, and the line
// where the file itself can't be read. Paths in it are relative to the file.
func ReadOperator(path, name string) (*Operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	encoded := operatorFile{
		Membership: membershipPart{
			BearPause: defaultToleratedPause, DetectWithin: defaultDetection, MostMembers: defaultMaxMembers,
		},
	}
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&encoded); err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, atLine(err))
	}
	operator, err := encoded.operator(path, name)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return operator, nil
}

// operator checks the parts that are on.
func (f *operatorFile) operator(path, name string) (operator *Operator, err error) {
	operator = &Operator{Admin: f.Admin.Listen}
	if operator.Admin != "" {
		if err := admin.Check(operator.Admin); err != nil {
			return nil, &KeyError{Key: "admin.listen", Err: err}
		}
	}
	if f.Membership.Enabled {
		if operator.Membership, err = f.Membership.config(path, name); err != nil {
			return nil, err
		}
	}
	if f.Policy.Enabled {
		if operator.Policy, err = f.Policy.config(path, name); err != nil {
			return nil, err
		}
	}
	if f.Takeover.Enabled {
		operator.LeaseTTL, err = f.Takeover.leaseTTL(operator)
	}
	return operator, err
}

// atLine says where the file is wrong.
func atLine(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: %w", line, &KeyError{Key: strings.Join(first.Key(), "."), Err: errUnknownKey})
	}
	var wrong *toml.DecodeError
	if !errors.As(err, &wrong) {
		return err
	}
	line, _ := wrong.Position()
	if key := strings.Join(wrong.Key(), "."); key != "" {
		return fmt.Errorf("line %d: %w", line, &KeyError{Key: key, Err: err})
	}
	return fmt.Errorf("line %d: %w", line, err)
}

// errUnknownKey is the fault of a key that nothing reads.
var errUnknownKey = errors.New("not a key that is known")

// parseDuration reads a time like 4s or 250ms. A plain number is an error, since it could be taken for any unit.
func parseDuration(key, text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, wrongValue(key, "want a time like 4s or 250ms, got %q", text)
	}
	return d, nil
}

// milliseconds is a time in the unit of the membership package.
func milliseconds(d time.Duration) membership.Millis { return float64(d) / float64(time.Millisecond) }

// readKey reads the key file that a key of the file at path names; without a name there is no key.
func readKey(path, key, name string) ([]byte, error) {
	if name == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(relativeTo(path, name))
	if err != nil {
		return nil, &KeyError{Key: key, Err: err}
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) < minKeyBytes {
		return nil, wrongValue(key, "want a key of %d bytes or more, got %d", minKeyBytes, len(raw))
	}
	return raw, nil
}

// relativeTo is a path that the file at path holds, which is relative to that file.
func relativeTo(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// config is the configuration of membership in the file at path, for the instance of that name.
func (m *membershipPart) config(path, name string) (*gossip.Config, error) {
	own := ""
	var seeds []membership.Seed
	for _, seed := range m.Seeds {
		if seed.Name == name {
			own = seed.Address
		}
		seeds = append(seeds, membership.Seed{Name: membership.Name(seed.Name), Address: seed.Address})
	}
	advertise := cmp.Or(m.Advertise, own, m.Bind)
	if advertise == "" {
		return nil, wrongValue("membership.bind", "missing, and membership.seeds names no %q", name)
	}
	tolerated, err := parseDuration("membership.bear-pause", m.BearPause)
	if err != nil {
		return nil, err
	}
	detection, err := parseDuration("membership.detect-within", m.DetectWithin)
	if err != nil {
		return nil, err
	}
	secret, err := readKey(path, "membership.key-file", m.KeyFile)
	if err != nil {
		return nil, err
	}
	if len(seeds) == 0 {
		return nil, &KeyError{Key: "membership.seeds", Err: errMissing}
	}
	config := &gossip.Config{
		Bind: cmp.Or(m.Bind, advertise), Codec: membership.Codec{Cluster: m.Cluster, Key: secret},
		Membership: membership.Settings{
			Name: membership.Name(name), Address: advertise, Seeds: seeds, MaxMembers: m.MostMembers,
			ToleratedPause: milliseconds(tolerated), DetectionTimeout: milliseconds(detection),
		},
	}
	if err := config.Membership.Check(); err != nil {
		return nil, err
	}
	if err := config.Codec.Check(); err != nil {
		return nil, err
	}
	return config, nil
}

// config is the configuration of the replicated log in the file at path, for the instance of that name.
func (p *policyPart) config(path, name string) (config *raftlog.Config, err error) {
	if p.Dir == "" {
		return nil, wrongValue("policy.dir", "missing; it has to last over restarts")
	}
	config = &raftlog.Config{Name: name, Dir: relativeTo(path, p.Dir), Bind: p.Bind}
	if config.Key, err = readKey(path, "policy.key-file", p.KeyFile); err != nil {
		return nil, err
	}
	config.ElectionTimeout, err = parseDuration("policy.elect-within", cmp.Or(p.ElectWithin, defaultElectionTimeout))
	if err != nil {
		return nil, err
	}
	if config.ElectionTimeout < minElectionTimeout {
		return nil, wrongValue("policy.elect-within", "want %v or more, got %v", minElectionTimeout, config.ElectionTimeout)
	}
	if len(p.Servers) == 0 || len(p.Servers) > maxServers {
		return nil, wrongValue("policy.servers", "want 1 to %d, got %d; all other marshals follow them",
			maxServers, len(p.Servers))
	}
	if err := p.checkServers(); err != nil {
		return nil, err
	}
	for _, server := range p.Servers {
		config.Servers = append(config.Servers, raftlog.Server{Name: server.Name, Address: server.Address})
		if server.Name == name {
			config.Bind = cmp.Or(config.Bind, server.Address)
		}
	}
	return config, nil
}

// checkServers checks the names and addresses of the servers.
func (p *policyPart) checkServers() error {
	names := map[string]bool{}
	for i, server := range p.Servers {
		key := fmt.Sprintf("policy.servers[%d]", i)
		if err := membership.Name(server.Name).Check(); err != nil {
			return &KeyError{Key: key + ".name", Err: err}
		}
		if names[server.Name] {
			return wrongValue(key+".name", "%q comes twice", server.Name)
		}
		names[server.Name] = true
		if address, err := netip.ParseAddrPort(server.Address); err != nil || address.Port() == 0 {
			return wrongValue(key+".address", "want ip:port, got %q", server.Address)
		}
	}
	return nil
}

// leaseTTL is how long a lease lasts, with the other parts of the file as operator has them.
func (t *takeoverPart) leaseTTL(operator *Operator) (time.Duration, error) {
	if operator.Membership == nil || operator.Policy == nil {
		return 0, wrongValue("takeover.enabled", "needs membership.enabled and policy.enabled")
	}
	ttl, err := parseDuration("takeover.lease", cmp.Or(t.Lease, defaultLease))
	if err != nil {
		return 0, err
	}
	if least := minElectionsPerLease * operator.Policy.ElectionTimeout; ttl < least {
		return 0, wrongValue("takeover.lease", "want %d times policy.elect-within or more, %v, got %v",
			minElectionsPerLease, least, ttl)
	}
	return ttl, nil
}
