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
	defaultToleratedPause   = "4s"  // membership.bear-pause
	defaultDetectionTimeout = "12s" // membership.detect-within
	defaultMaxMembers       = 4096  // membership.most-members
	defaultElectionTimeout  = "1s"  // policy.elect-within
	defaultLeaseTTL         = "5s"  // takeover.lease

	minElectionTimeout   = 50 * time.Millisecond
	minElectionsPerLease = 3  // a lease must outlast this many elections, so that it does not expire during one
	maxServers           = 9  // most servers of the replicated log
	minKeyBytes          = 16 // length of the shortest secret key that is accepted
)

// operatorFile is the TOML form of the operator's file. Durations are strings like 4s or 250ms, see parseDuration.
type operatorFile struct {
	Admin      adminSection      `toml:"admin"`
	Membership membershipSection `toml:"membership"`
	Policy     policySection     `toml:"policy"`
	Takeover   takeoverSection   `toml:"takeover"`
}

type adminSection struct {
	Listen string `toml:"listen"` // ip:port on loopback; default empty: no admin server
}

type membershipSection struct {
	Enabled          bool           `toml:"enabled"`
	Cluster          string         `toml:"cluster"`       // at most 32 bytes; packets of other clusters are dropped
	Bind             string         `toml:"bind"`          // ip:port, UDP; default: advertise
	Advertise        string         `toml:"advertise"`     // ip:port; default: the address of the instance's own entry in seeds, or bind
	KeyFile          string         `toml:"key-file"`      // relative to this file; default empty: packets are not signed
	ToleratedPause   string         `toml:"bear-pause"`    // see membership.Settings.ToleratedPause
	DetectionTimeout string         `toml:"detect-within"` // see membership.Settings.DetectionTimeout
	MaxMembers       int            `toml:"most-members"`  // see membership.Settings.MaxMembers
	Seeds            []namedAddress `toml:"seeds"`         // instances through which this one joins the cluster, one or more
}

type policySection struct {
	Enabled         bool           `toml:"enabled"`
	Dir             string         `toml:"dir"`          // directory of the replicated log, relative to this file; required
	Bind            string         `toml:"bind"`         // ip:port, TCP; default: the address of the instance's own entry in servers
	KeyFile         string         `toml:"key-file"`     // relative to this file; default empty: the log accepts any connection
	ElectionTimeout string         `toml:"elect-within"` // see raftlog.Config.ElectionTimeout
	Servers         []namedAddress `toml:"servers"`      // servers of the replicated log, 1 to maxServers
}

type takeoverSection struct {
	Enabled bool   `toml:"enabled"` // requires membership and policy
	Lease   string `toml:"lease"`   // see Operator.LeaseTTL
}

// namedAddress is the name of an instance and the address at which other instances reach it.
type namedAddress struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // ip:port
}

// ReadOperator reads the operator's file at path for the instance with this name. The error names the invalid key, and
// also its line if the TOML decoder reports the error. Paths in the file are relative to the file.
func ReadOperator(path, name string) (*Operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operator's file: %w", err)
	}
	encoded := operatorFile{
		Membership: membershipSection{
			ToleratedPause: defaultToleratedPause, DetectionTimeout: defaultDetectionTimeout, MaxMembers: defaultMaxMembers,
		},
	}
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&encoded); err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, withLine(err))
	}
	operator, err := encoded.toOperator(path, name)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return operator, nil
}

// toOperator checks the enabled sections and converts them for the instance with this name. path is that of the operator's
// file.
func (f *operatorFile) toOperator(path, name string) (operator *Operator, err error) {
	operator = &Operator{Admin: f.Admin.Listen}
	if operator.Admin != "" {
		if err := admin.CheckAddress(operator.Admin); err != nil {
			return nil, &KeyError{Key: "admin.listen", Err: err}
		}
	}
	if f.Membership.Enabled {
		if operator.Membership, err = f.Membership.gossipConfig(path, name); err != nil {
			return nil, err
		}
	}
	if f.Policy.Enabled {
		if operator.Policy, err = f.Policy.raftConfig(path, name); err != nil {
			return nil, err
		}
	}
	if f.Takeover.Enabled {
		operator.LeaseTTL, err = f.Takeover.leaseTTL(operator)
	}
	return operator, err
}

// withLine adds the line, and the key if it is known, to an error of the TOML decoder. It returns other errors unchanged.
func withLine(err error) error {
	var unknownErr *toml.StrictMissingError
	if errors.As(err, &unknownErr) && len(unknownErr.Errors) > 0 {
		first := unknownErr.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: %w", line, &KeyError{Key: strings.Join(first.Key(), "."), Err: errUnknownKey})
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return err
	}
	line, _ := decodeErr.Position()
	if key := strings.Join(decodeErr.Key(), "."); key != "" {
		return fmt.Errorf("line %d: %w", line, &KeyError{Key: key, Err: err})
	}
	return fmt.Errorf("line %d: %w", line, err)
}

// errUnknownKey is the cause for a key that no field decodes.
var errUnknownKey = errors.New("unknown key")

// parseDuration parses a duration like 4s or 250ms. A number without a unit is an error, since its unit would be a guess.
func parseDuration(key, text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, keyErrorf(key, "want a duration like 4s or 250ms, got %q", text)
	}
	return d, nil
}

// milliseconds converts a duration to the unit of the membership package.
func milliseconds(d time.Duration) membership.Millis { return float64(d) / float64(time.Millisecond) }

// readKeyFile reads the secret key from the file named name, which the key of the operator's file at path refers to. It
// returns nil if name is empty.
func readKeyFile(path, key, name string) ([]byte, error) {
	if name == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(resolvePath(path, name))
	if err != nil {
		return nil, &KeyError{Key: key, Err: err}
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) < minKeyBytes {
		return nil, keyErrorf(key, "want a key of at least %d bytes, got %d", minKeyBytes, len(raw))
	}
	return raw, nil
}

// resolvePath returns the file named name, where a relative name is relative to the directory of the file at path.
func resolvePath(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// gossipConfig checks the section and converts it for the instance with this name. path is that of the operator's file.
func (m *membershipSection) gossipConfig(path, name string) (*gossip.Config, error) {
	ownAddress := ""
	var seeds []membership.Seed
	for _, seed := range m.Seeds {
		if seed.Name == name {
			ownAddress = seed.Address
		}
		seeds = append(seeds, membership.Seed{Name: membership.Name(seed.Name), Address: seed.Address})
	}
	advertise := cmp.Or(m.Advertise, ownAddress, m.Bind)
	if advertise == "" {
		return nil, keyErrorf("membership.bind", "missing, and membership.seeds has no entry for %q", name)
	}
	toleratedPause, err := parseDuration("membership.bear-pause", m.ToleratedPause)
	if err != nil {
		return nil, err
	}
	detectionTimeout, err := parseDuration("membership.detect-within", m.DetectionTimeout)
	if err != nil {
		return nil, err
	}
	secret, err := readKeyFile(path, "membership.key-file", m.KeyFile)
	if err != nil {
		return nil, err
	}
	if len(seeds) == 0 {
		return nil, &KeyError{Key: "membership.seeds", Err: errMissing}
	}
	config := &gossip.Config{
		Bind: cmp.Or(m.Bind, advertise), Codec: membership.Codec{Cluster: m.Cluster, Key: secret},
		Membership: membership.Settings{
			Name: membership.Name(name), Address: advertise, Seeds: seeds, MaxMembers: m.MaxMembers,
			ToleratedPause: milliseconds(toleratedPause), DetectionTimeout: milliseconds(detectionTimeout),
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

// raftConfig checks the section and converts it for the instance with this name. path is that of the operator's file.
func (p *policySection) raftConfig(path, name string) (config *raftlog.Config, err error) {
	if p.Dir == "" {
		return nil, keyErrorf("policy.dir", "missing; the directory must persist across restarts")
	}
	config = &raftlog.Config{Name: name, Dir: resolvePath(path, p.Dir), Bind: p.Bind}
	if config.Key, err = readKeyFile(path, "policy.key-file", p.KeyFile); err != nil {
		return nil, err
	}
	config.ElectionTimeout, err = parseDuration("policy.elect-within", cmp.Or(p.ElectionTimeout, defaultElectionTimeout))
	if err != nil {
		return nil, err
	}
	if config.ElectionTimeout < minElectionTimeout {
		return nil, keyErrorf("policy.elect-within", "want at least %v, got %v", minElectionTimeout, config.ElectionTimeout)
	}
	if len(p.Servers) == 0 || len(p.Servers) > maxServers {
		return nil, keyErrorf("policy.servers", "want 1 to %d servers, got %d; all other instances follow them",
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

// checkServers checks that each server has a valid, unique name and an address with a port.
func (p *policySection) checkServers() error {
	names := map[string]bool{}
	for i, server := range p.Servers {
		key := fmt.Sprintf("policy.servers[%d]", i)
		if err := membership.Name(server.Name).Check(); err != nil {
			return &KeyError{Key: key + ".name", Err: err}
		}
		if names[server.Name] {
			return keyErrorf(key+".name", "duplicate name %q", server.Name)
		}
		names[server.Name] = true
		if address, err := netip.ParseAddrPort(server.Address); err != nil || address.Port() == 0 {
			return keyErrorf(key+".address", "want ip:port, got %q", server.Address)
		}
	}
	return nil
}

// leaseTTL returns how long a lease lasts without renewal. operator has the converted sections membership and policy, which
// takeover requires.
func (t *takeoverSection) leaseTTL(operator *Operator) (time.Duration, error) {
	if operator.Membership == nil || operator.Policy == nil {
		return 0, keyErrorf("takeover.enabled", "requires membership.enabled and policy.enabled")
	}
	ttl, err := parseDuration("takeover.lease", cmp.Or(t.Lease, defaultLeaseTTL))
	if err != nil {
		return 0, err
	}
	if minTTL := minElectionsPerLease * operator.Policy.ElectionTimeout; ttl < minTTL {
		return 0, keyErrorf("takeover.lease", "want at least %d times policy.elect-within (%v), got %v",
			minElectionsPerLease, minTTL, ttl)
	}
	return ttl, nil
}
