package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"ottershed/internal/admin"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/raftlog"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Operator is what the operator's own file says, beside what the platform hands over. Nothing in it is on by itself.
type Operator struct {
	Admin      string          // ip:port of loopback; empty: none
	Membership *gossip.Config  // nil: off
	Policy     *raftlog.Config // nil: off
	LeaseTTL   time.Duration   // of work in hand; 0: takeover is off
}

// spanOf reads a length of time, "4s" or "250ms", in milliseconds. Danger: a plain number could be taken for any unit.
func parseMillis(key, text string) (float64, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: want a time like 4s or 250ms, got %q", key, text)
	}
	return float64(d) / float64(time.Millisecond), nil
}

type operatorFile struct {
	Admin struct {
		Listen string `toml:"listen"`
	} `toml:"admin"`
	Membership struct {
		Enabled      bool   `toml:"enabled"`
		Cluster      string `toml:"cluster"`
		Bind         string `toml:"bind"`
		Advertise    string `toml:"advertise"`
		KeyFile      string `toml:"key-file"`
		BearPause    string `toml:"bear-pause"`
		DetectWithin string `toml:"detect-within"`
		MostMembers  int    `toml:"most-members"`
		Seeds        []struct {
			Name    string `toml:"name"`
			Address string `toml:"address"`
		} `toml:"seeds"`
	} `toml:"membership"`
	Policy struct {
		Enabled     bool   `toml:"enabled"`
		Dir         string `toml:"dir"`
		Bind        string `toml:"bind"`
		KeyFile     string `toml:"key-file"`
		ElectWithin string `toml:"elect-within"`
		Servers     []struct {
			Name    string `toml:"name"`
			Address string `toml:"address"`
		} `toml:"servers"`
	} `toml:"policy"`
	Takeover struct {
		Enabled bool   `toml:"enabled"`
		Lease   string `toml:"lease"`
	} `toml:"takeover"`
}

// ReadOperator reads the operator's file for the marshal of that name. An error names the key at fault, and the line
// where the file itself can't be read. Paths in it are relative to the file.
func ReadOperator(path, name string) (*Operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	var f operatorFile
	m := &f.Membership
	m.BearPause, m.DetectWithin, m.MostMembers = "4s", "12s", 4096
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, inFile(err))
	}
	o := &Operator{Admin: f.Admin.Listen}
	if o.Admin != "" {
		if err := admin.Check(o.Admin); err != nil {
			return nil, fmt.Errorf("operator's file %s: admin.listen: %w", path, err)
		}
	}
	if m.Enabled {
		if o.Membership, err = f.membership(path, name); err != nil {
			return nil, fmt.Errorf("operator's file %s: %w", path, err)
		}
	}
	if f.Policy.Enabled {
		if o.Policy, err = f.policy(path, name); err != nil {
			return nil, fmt.Errorf("operator's file %s: %w", path, err)
		}
	}
	if f.Takeover.Enabled {
		if err := o.takeover(cmp.Or(f.Takeover.Lease, "5s")); err != nil {
			return nil, fmt.Errorf("operator's file %s: %w", path, err)
		}
	}
	return o, nil
}

// leastLease is how often the log may elect a leader within a lease: an election must not cost anybody his work.
const minElectionsPerLease = 3

func (o *Operator) takeover(lease string) error {
	if o.Membership == nil || o.Policy == nil {
		return errors.New("takeover.enabled: needs membership.enabled and policy.enabled")
	}
	span, err := parseMillis("takeover.lease", lease)
	if err != nil {
		return err
	}
	if o.LeaseTTL = time.Duration(span * float64(time.Millisecond)); o.LeaseTTL < minElectionsPerLease*o.Policy.ElectionTimeout {
		return fmt.Errorf("takeover.lease: want %d times policy.elect-within or more, %v, got %v", minElectionsPerLease,
			minElectionsPerLease*o.Policy.ElectionTimeout, o.LeaseTTL)
	}
	return nil
}

// beside is a path in the file, which is relative to the file.
func relativeTo(path, of string) string {
	if filepath.IsAbs(of) {
		return of
	}
	return filepath.Join(filepath.Dir(path), of)
}

const minKeyBytes = 16 // bytes

// readKey reads a key file; none is no key.
func readKey(path, key, file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(relativeTo(path, file))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	if raw = bytes.TrimSpace(raw); len(raw) < minKeyBytes {
		return nil, fmt.Errorf("%s: want a key of %d bytes or more, got %d", key, minKeyBytes, len(raw))
	}
	return raw, nil
}

const (
	minElectionTimeout = 50 * time.Millisecond
	maxServers         = 9
)

func (f *operatorFile) policy(path, name string) (*raftlog.Config, error) {
	p := &f.Policy
	c := &raftlog.Config{Name: name, Dir: p.Dir, Bind: p.Bind}
	if c.Dir == "" {
		return nil, errors.New("policy.dir: missing; it has to last over restarts")
	}
	c.Dir = relativeTo(path, c.Dir)
	var err error
	if c.Key, err = readKey(path, "policy.key-file", p.KeyFile); err != nil {
		return nil, err
	}
	elect, err := parseMillis("policy.elect-within", cmp.Or(p.ElectWithin, "1s"))
	if err != nil {
		return nil, err
	}
	if c.ElectionTimeout = time.Duration(elect * float64(time.Millisecond)); c.ElectionTimeout < minElectionTimeout {
		return nil, fmt.Errorf("policy.elect-within: want %v or more, got %v", minElectionTimeout, c.ElectionTimeout)
	}
	if len(p.Servers) == 0 || len(p.Servers) > maxServers {
		return nil, fmt.Errorf("policy.servers: want 1 to %d, got %d; all other marshals follow them", maxServers, len(p.Servers))
	}
	names := map[string]bool{}
	for i, s := range p.Servers {
		key := fmt.Sprintf("policy.servers[%d]", i)
		if err := membership.Name(s.Name).Check(); err != nil {
			return nil, fmt.Errorf("%s.name: %w", key, err)
		}
		if names[s.Name] {
			return nil, fmt.Errorf("%s.name: %q comes twice", key, s.Name)
		}
		names[s.Name] = true
		if at, err := netip.ParseAddrPort(s.Address); err != nil || at.Port() == 0 {
			return nil, fmt.Errorf("%s.address: want ip:port, got %q", key, s.Address)
		}
		c.Servers = append(c.Servers, raftlog.Server{Name: s.Name, Address: s.Address})
		if s.Name == name {
			c.Bind = cmp.Or(c.Bind, s.Address)
		}
	}
	return c, nil
}

// inFile says where the file is wrong.
func inFile(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: %s: not a key that is known", line, strings.Join(first.Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		if key := strings.Join(wrong.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %w", line, key, err)
		}
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

func (f *operatorFile) membership(path, name string) (*gossip.Config, error) {
	m := &f.Membership
	own, seeds := "", []membership.Seed(nil)
	for _, s := range m.Seeds {
		if s.Name == name {
			own = s.Address
		}
		seeds = append(seeds, membership.Seed{Name: membership.Name(s.Name), Address: s.Address})
	}
	advertise := cmp.Or(m.Advertise, own, m.Bind)
	if advertise == "" {
		return nil, fmt.Errorf("membership.bind: missing, and membership.seeds names no %q", name)
	}
	c := &gossip.Config{
		Bind: cmp.Or(m.Bind, advertise), Codec: membership.Codec{Cluster: m.Cluster},
		Membership: membership.Settings{
			Name: membership.Name(name), Address: advertise, Seeds: seeds,
			MaxMembers: m.MostMembers,
		},
	}
	var err error
	if c.Membership.ToleratedPause, err = parseMillis("membership.bear-pause", m.BearPause); err != nil {
		return nil, err
	}
	if c.Membership.DetectionTimeout, err = parseMillis("membership.detect-within", m.DetectWithin); err != nil {
		return nil, err
	}
	if c.Codec.Key, err = readKey(path, "membership.key-file", m.KeyFile); err != nil {
		return nil, err
	}
	if len(seeds) == 0 {
		return nil, errors.New("membership.seeds: missing")
	}
	if err := c.Membership.Check(); err != nil {
		return nil, err
	}
	if err := c.Codec.Check(); err != nil {
		return nil, err
	}
	return c, nil
}

// String tells what holds of the operator's file.
func (o *Operator) String() string {
	lines := [][2]string{
		{"admin.listen", cmp.Or(o.Admin, "none")},
		{"membership", "off"},
		{"policy", "off"},
		{"takeover", "off"},
	}
	if o.LeaseTTL > 0 {
		lines[3][1] = fmt.Sprintf("leases of %v", o.LeaseTTL)
	}
	if c := o.Policy; c != nil {
		role := "a server"
		if !c.IsServer() {
			role = "follows"
		}
		lines[2][1] = fmt.Sprintf("%s, %d servers, %v to elect, store in %s", role, len(c.Servers), c.ElectionTimeout, c.Dir)
	}
	if c := o.Membership; c != nil {
		sealed := "packets not sealed"
		if len(c.Codec.Key) > 0 {
			sealed = "packets sealed"
		}
		lines[1][1] = fmt.Sprintf("cluster %q, %s, %d seeds", c.Codec.Cluster, sealed, len(c.Membership.Seeds))
		lines = append(lines, [][2]string{
			{"membership.bind", c.Bind},
			{"membership.advertise", c.Membership.Address},
			{"membership.bear-pause", fmt.Sprintf("%g ms", c.Membership.ToleratedPause)},
			{"membership.detect-within", fmt.Sprintf("%g ms", c.Membership.DetectionTimeout)},
		}...)
	}
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%-23s %s\n", l[0], l[1])
	}
	return b.String()
}
