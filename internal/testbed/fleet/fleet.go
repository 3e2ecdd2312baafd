// Package fleet runs several balancers as real processes on loopback: a cluster whose instances share a stand-in
// platform and talk to each other through relays, in which faults are injected.
//
//	cluster, err := fleet.Start(fleet.Settings{Dir: dir, Program: "bin/balancer", Instances: 5, Platform: stand, ...})
//	defer cluster.Close()
//	err = poll.Until(ctx, func() error { return cluster.Agree(ctx) }) // until all know each other
//	err = cluster.Process(2).Kill()
//
// Instances are called n0, n1 and so on; methods take their number.
//
// Files: settings.go (what is started), fleet.go (start, end, addresses), files.go (the instances' configuration),
// faults.go (partitions, random kills), members.go, policy.go and lease.go (what an instance knows, by its admin
// address).
package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"

	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/platform"
)

// maxInstances leaves room in the last byte of their addresses.
const maxInstances = 200

// Ports that each instance has at its own address of loopback.
const (
	requestPort = 8080
	adminPort   = 8081
	memberPort  = 7946
	policyPort  = 7947
)

// fleetCount numbers the fleets of this process. Each has a network of its own in 127.0.0.0/8 with fixed ports, so that
// no port is asked of the kernel that another process could take in the meantime.
var fleetCount atomic.Int64

// Fleet is several balancers on loopback, each with an address of its own and a relay for its membership packets.
type Fleet struct {
	Rules *faultinject.Rules // of the links between instances

	settings       Settings
	packets        *faultinject.PacketRelays
	streams        *faultinject.StreamRelays
	names          []string
	addresses      []netip.Addr
	relayAddresses []string // where others reach an instance's membership
	processes      map[string]*faultinject.Process
}

// New writes the files of a fleet and sets up its relays; Start starts its processes.
func New(set Settings) (*Fleet, error) {
	if set.Instances < 1 || set.Instances > maxInstances {
		return nil, fmt.Errorf("fleet: want 1 to %d instances, got %d", maxInstances, set.Instances)
	}
	rules := faultinject.NewRules(set.Seed)
	f := &Fleet{
		Rules: rules, settings: set, packets: faultinject.NewPacketRelays(rules), streams: faultinject.NewStreamRelays(rules),
		processes: map[string]*faultinject.Process{},
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare sets up all relays and then writes all files, which name the relays.
func (f *Fleet) prepare() error {
	network := byte(fleetCount.Add(1))
	ofProcess := byte(10 + os.Getpid()%200)
	for i := range f.settings.Instances {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
		f.addresses = append(f.addresses, netip.AddrFrom4([4]byte{127, ofProcess, network, byte(i + 1)}))
		relay, err := f.packets.AddRelay(f.names[i], f.address(i, memberPort))
		if err != nil {
			return err
		}
		f.relayAddresses = append(f.relayAddresses, relay)
	}
	for i := range f.settings.Instances {
		if err := f.writeFiles(i); err != nil {
			return err
		}
		f.processes[f.names[i]] = f.newProcess(i)
	}
	return nil
}

// Start makes a fleet and starts its processes.
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

// Start starts all instances.
func (f *Fleet) Start() error {
	for i := range f.names {
		if err := f.Process(i).Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the instances that still run and ends the relays.
func (f *Fleet) Close() {
	for _, process := range f.processes {
		if process.Running() {
			_ = process.Kill() // it fails only where the process has ended by itself
		}
	}
	f.packets.Close()
	f.streams.Close()
}

func (f *Fleet) address(i, port int) string {
	return netip.AddrPortFrom(f.addresses[i], uint16(port)).String()
}

// Platform is the stand-ins that the fleet works with.
func (f *Fleet) Platform() *platform.Platform { return f.settings.Platform }

// Names are the instances' names.
func (f *Fleet) Names() []string { return f.names }

// Process is an instance's process.
func (f *Fleet) Process(i int) *faultinject.Process { return f.processes[f.names[i]] }

// Admin is an instance's admin address.
func (f *Fleet) Admin(i int) string { return f.address(i, adminPort) }

// Listen is the address at which an instance takes requests.
func (f *Fleet) Listen(i int) string { return f.address(i, requestPort) }

// RelayAddress is where others reach an instance's membership.
func (f *Fleet) RelayAddress(i int) string { return f.relayAddresses[i] }

// File is the path of an instance's file of a kind: json and toml (configuration), log, store.
func (f *Fleet) File(i int, kind string) string {
	return filepath.Join(f.settings.Dir, f.names[i]+"."+kind)
}

// Store is the directory of an instance's store.
func (f *Fleet) Store(i int) string { return f.File(i, "store") }
