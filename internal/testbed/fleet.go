package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"ottershed/internal/admin"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/policysync"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/platform"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Settings say what fleet is started.
type Settings struct {
	Dir       string   // for files and logs; it has to be there
	Program   string   // path of ottershed
	Env       []string // for the program
	Clocks    []string // of the marshals in turn, as clock.LabEnv has it, such as "-1h 1.1"; none: they tell the truth
	Instances int
	Seed      uint64 // of the faults
	Platform  *platform.Platform

	ToleratedPause   time.Duration
	DetectionTimeout time.Duration
	Seeds            int    // the first so many marshals are seeds; 0: all
	Key              string // packets are sealed with it; empty: not

	Servers         int           // the first so many marshals keep the policy's log; 0: no policy
	ElectionTimeout time.Duration // without a word of the leader until another is elected
	LeaseTTL        time.Duration // of work in hand; 0: no takeover
}

// Fleet is several marshal processes on loopback, each with an address of its own, and a relay in front of each.
type Fleet struct {
	settings Settings
	Rules    *faultinject.Rules
	packets  *faultinject.Packets
	streams  *faultinject.Streams
	names    []string
	hosts    []netip.Addr
	relays   []string
	process  map[string]*faultinject.Process
}

// Ports that each marshal has at its own address of loopback.
const (
	requestPort = 8080
	adminPort   = 8081
	memberPort  = 7946
	policyPort  = 7947
)

// fleets numbers the fleets of this process: each has a net of its own in 127.0.0.0/8, and so no port is ever asked of the
// kernel that another might take meanwhile.
var fleets atomic.Int64

// New writes the files of a fleet and sets up its relays; Start starts its processes.
func New(set Settings) (*Fleet, error) {
	if set.Instances < 1 || set.Instances > 200 {
		return nil, fmt.Errorf("lab: want 1 to 200 marshals, got %d", set.Instances)
	}
	f := &Fleet{settings: set, Rules: faultinject.NewRules(set.Seed), process: map[string]*faultinject.Process{}}
	f.packets, f.streams = faultinject.NewPackets(f.Rules), faultinject.NewStreams(f.Rules)
	net := byte(fleets.Add(1))
	own := byte(10 + os.Getpid()%200)
	for i := range set.Instances {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{127, own, net, byte(i + 1)}))
		relay, err := f.packets.AddRelay(f.names[i], f.addressOf(i, memberPort))
		if err != nil {
			f.Close()
			return nil, err
		}
		f.relays = append(f.relays, relay)
	}
	for i := range set.Instances {
		if err := f.write(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) addressOf(i, port int) string {
	return netip.AddrPortFrom(f.hosts[i], uint16(port)).String()
}

// Town is the stand-ins of the fleet.
func (f *Fleet) Platform() *platform.Platform { return f.settings.Platform }

// Names are the marshals' names.
func (f *Fleet) Names() []string { return f.names }

// Process is a marshal's process.
func (f *Fleet) Process(i int) *faultinject.Process { return f.process[f.names[i]] }

// Admin is a marshal's admin address.
func (f *Fleet) Admin(i int) string { return f.addressOf(i, adminPort) }

// Listen is where a marshal takes hits.
func (f *Fleet) Listen(i int) string { return f.addressOf(i, requestPort) }

// Front is where others reach a marshal's membership.
func (f *Fleet) RelayAddress(i int) string { return f.relays[i] }

// Scene is what scripts play on.
func (f *Fleet) FaultEnvironment() *faultinject.Environment {
	return &faultinject.Environment{Rules: f.Rules, Processes: f.process}
}

// File is the path of one of a marshal's files.
func (f *Fleet) File(i int, kind string) string {
	return filepath.Join(f.settings.Dir, f.names[i]+"."+kind)
}

// settings of the marshals: three marshals' figures from the documented example, with times that suit loopback.
const instanceSettings = `{"n-instances":%d,"zone":"z","limits":{"most-tries":5,"cancel":true,"retry-after":true,
"max-retry-after-ms":50,"conn-idle-ms":30000,"connect-timeout-ms":250},"rules":{"cold-from":0.35,"warm-after-ms":1000,
"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20,"drain-grace-ms":250},"domain":{"caps":[0.3,1],"waves":[0.3,1],"uncounted":1,
"guarded-stages":0,"keys-stay":false,"on-votes":1,"votes-to-revert":1,"vote-wait-ms":300,"vote-ttl-ms":3000},"services":[
{"name":"read","aim-ms":200,"give-up-ms":1000,"idempotency":"safe"},
{"name":"send-text","aim-ms":200,"give-up-ms":1000,"idempotency":"unsafe"}]}`

// write writes a marshal's two files.
func (f *Fleet) write(i int) error {
	name := f.names[i]
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"platform":{"address":%q},"settings":%s}`, name, f.Listen(i), f.settings.Platform.Discovery(), f.settings.Seed*1000+uint64(i)+1,
		f.settings.Platform.Controller().Address(), fmt.Sprintf(instanceSettings, f.settings.Instances))
	var seeds strings.Builder
	for s := range f.names {
		if f.settings.Seeds == 0 || s < f.settings.Seeds {
			fmt.Fprintf(&seeds, "[[membership.seeds]]\nname = %q\naddress = %q\n", f.names[s], f.relays[s])
		}
	}
	key := ""
	if f.settings.Key != "" {
		path := filepath.Join(f.settings.Dir, "key")
		if err := os.WriteFile(path, []byte(f.settings.Key+"\n"), 0o600); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		key = "key-file = \"key\"\n"
	}
	policy, err := f.policy(i, key)
	if err != nil {
		return err
	}
	operator := fmt.Sprintf("[admin]\nlisten = %q\n\n[membership]\nenabled = true\ncluster = \"lab\"\nbind = %q\nadvertise = %q\n"+
		"%sbear-pause = %q\ndetect-within = %q\n%s\n%s", f.Admin(i), f.addressOf(i, memberPort), f.relays[i], key,
		f.settings.ToleratedPause.String(), f.settings.DetectionTimeout.String(), seeds.String(), policy)
	for kind, text := range map[string]string{"json": config, "toml": operator} {
		if err := os.WriteFile(f.File(i, kind), []byte(text), 0o600); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	env := slices.Clone(f.settings.Env)
	if n := len(f.settings.Clocks); n > 0 {
		env = append(env, clock.TestbedEnv+"="+f.settings.Clocks[i%n])
	}
	f.process[name] = &faultinject.Process{
		Name: name, Path: f.settings.Program, Env: env, Log: f.File(i, "log"),
		Args: []string{"serve", "--config", f.File(i, "json"), "--operator", f.File(i, "toml")},
	}
	return nil
}

// policy is the part of a marshal's operator's file on policy. It reaches each server by a relay of its own.
func (f *Fleet) policy(i int, key string) (string, error) {
	if f.settings.Servers == 0 {
		return "", nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\nenabled = true\ndir = %q\nbind = %q\n%select-within = %q\n", f.names[i]+".store",
		f.addressOf(i, policyPort), key, f.settings.ElectionTimeout.String())
	for s := range f.settings.Servers {
		at := f.addressOf(s, policyPort)
		if s != i {
			var err error
			if at, err = f.streams.AddRelay(f.names[i], f.names[s], at); err != nil {
				return "", err
			}
		}
		fmt.Fprintf(&b, "[[policy.servers]]\nname = %q\naddress = %q\n", f.names[s], at)
	}
	if f.settings.LeaseTTL > 0 {
		fmt.Fprintf(&b, "[takeover]\nenabled = true\nlease = %q\n", f.settings.LeaseTTL.String())
	}
	return b.String(), nil
}

// Work is who owns what, as a marshal learns it.
func (f *Fleet) Leases(ctx context.Context, i int) (lines []failover.LeaseStatus, err error) {
	raw, err := admin.Call(ctx, f.Admin(i), "/work", []byte("{}"))
	if err != nil {
		return nil, err
	}
	return lines, json.Unmarshal(raw, &lines)
}

// Seen sums what all marshals that run have seen of the build on trial: each answered hit once, wherever it was answered.
func (f *Fleet) Responses(ctx context.Context) (responses int, err error) {
	for i := range f.names {
		if !f.Process(i).Running() {
			continue
		}
		var s failover.EvidenceSummary
		if err := f.ask(ctx, i, "/work/seen", &s); err != nil {
			return 0, err
		}
		responses += s.Responses
	}
	return responses, nil
}

// Take has a marshal take a piece of work over.
func (f *Fleet) TakeOver(ctx context.Context, i int, work string) error {
	_, err := admin.Call(ctx, f.Admin(i), "/work/take", []byte(work))
	return err
}

// Store is the directory of a marshal's store.
func (f *Fleet) Store(i int) string { return f.File(i, "store") }

// Start starts all marshals.
func (f *Fleet) Start() error {
	for i := range f.names {
		if err := f.Process(i).Start(); err != nil {
			return err
		}
	}
	return nil
}

// Started makes a fleet and starts its processes.
func Start(set Settings) (*Fleet, error) {
	f, err := New(set)
	if err != nil {
		return nil, err
	}
	if err := f.Start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close kills what still runs and ends the relays.
func (f *Fleet) Close() {
	for _, p := range f.process {
		if p.Running() {
			p.Kill()
		}
	}
	f.packets.Close()
	f.streams.Close()
}

// Apart cuts some marshals off from all others, in both directions, or joins them again.
func (f *Fleet) Partition(on bool, some ...int) {
	side := map[int]bool{}
	for _, i := range some {
		side[i] = true
	}
	for i := range f.names {
		for j := range f.names {
			if side[i] != side[j] {
				f.Rules.Cut(faultinject.Link{From: f.names[i], To: f.names[j]}, on)
			}
		}
	}
}

// PolicyStatus is what a marshal knows of the fleet's versions.
func (f *Fleet) PolicyStatus(ctx context.Context, i int) (*policysync.FleetStatus, error) {
	s := &policysync.FleetStatus{}
	return s, f.ask(ctx, i, "/policy/status", s)
}

// History are the versions that a marshal keeps.
func (f *Fleet) History(ctx context.Context, i int) (past []policysync.HistoryEntry, err error) {
	return past, f.ask(ctx, i, "/policy/history", &past)
}

func (f *Fleet) ask(ctx context.Context, i int, path string, to any) error {
	raw, err := admin.Call(ctx, f.Admin(i), path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s of %s: %w", path, f.names[i], err)
	}
	return nil
}

// Propose proposes a policy at a marshal; id may be empty.
func (f *Fleet) Propose(ctx context.Context, i int, policy, id string) (*policysync.ProposeResult, error) {
	ask := policysync.ProposeRequest{Policy: json.RawMessage(policy), ID: id}
	if end, ok := ctx.Deadline(); ok {
		ask.WaitMS = max(1, time.Until(end).Milliseconds())
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, err
	}
	raw, err := admin.Call(ctx, f.Admin(i), "/policy/propose", body)
	if err != nil {
		return nil, err
	}
	p := &policysync.ProposeResult{}
	return p, json.Unmarshal(raw, p)
}

// Self is a marshal's own line of its status.
func (f *Fleet) Self(ctx context.Context, i int) (policysync.MemberStatus, error) {
	var m policysync.MemberStatus
	return m, f.ask(ctx, i, "/policy/self", &m)
}

// Runs tells whether a marshal runs a version and takes trial traffic.
func (f *Fleet) Runs(ctx context.Context, i int, v policy.Version) error {
	m, err := f.Self(ctx, i)
	if err == nil && (m.Version != v || !m.TrialsAdmitted) {
		err = fmt.Errorf("%s runs version %d, open %v, want %d", f.names[i], m.Version, m.TrialsAdmitted, v)
	}
	return err
}

// Members is a marshal's answer to `ottershed members`.
type Members struct {
	membership.View
	Counters gossip.Counters `json:"counters"`
}

// Members asks a marshal for its view.
func (f *Fleet) Members(ctx context.Context, i int) (*Members, error) {
	m := &Members{}
	return m, f.ask(ctx, i, "/members", m)
}

// Until asks again and again until ok says nil, and returns its last error where ctx ends first.
func Poll(ctx context.Context, ok func() error) error {
	every := time.NewTicker(10 * time.Millisecond)
	defer every.Stop()
	for {
		err := ok()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-every.C:
		}
	}
}

// Holds tells whether a marshal holds another for being in a state; the error says what it holds.
func (f *Fleet) Holds(ctx context.Context, of, whom int, want membership.State) error {
	m, err := f.Members(ctx, of)
	if err != nil {
		return err
	}
	line, known := m.Get(membership.Name(f.names[whom]))
	if !known || line.State != want {
		return fmt.Errorf("%s holds %s for %v, known %v, want %v", f.names[of], f.names[whom], line.State, known, want)
	}
	return nil
}

// Agree tells whether all that run hold the same: all that run alive, and nobody else.
func (f *Fleet) Agree(ctx context.Context) error {
	for i := range f.names {
		if !f.Process(i).Running() {
			continue
		}
		m, err := f.Members(ctx, i)
		if err != nil {
			return err
		}
		for j, name := range f.names {
			line, known := m.Get(membership.Name(name))
			runs := f.Process(j).Running()
			if runs && (!known || line.State != membership.Alive) || !runs && known && line.State <= membership.Suspect {
				return fmt.Errorf("%s holds %s for %v, known %v; it runs: %v", f.names[i], name, line.State, known, runs)
			}
		}
	}
	return nil
}
