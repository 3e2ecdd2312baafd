// Package fleet runs a cluster of balancers as real processes on loopback. The instances share a fake platform and
// connect to each other through relays that inject faults.
//
//	cluster, err := fleet.Start(fleet.Settings{Dir: dir, Program: "bin/balancer", Instances: 5, Platform: services, ...})
//	defer cluster.Close()
//	err = poll.Until(ctx, func() error { return cluster.CheckViews(ctx) }) // wait for full membership
//	err = cluster.Process(2).Kill()
//
// Instances are named n0, n1 and so on; methods take the number of an instance.
//
// Files: settings.go (settings of a fleet), fleet.go (start, stop, addresses), files.go (configuration of instances),
// faults.go (partitions, random kills), members.go, policy.go and lease.go (state of an instance, read from its admin
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

// maxInstances keeps the number of an instance within the last byte of its address.
const maxInstances = 200

// Ports of each instance at its own loopback address.
const (
	requestPort = 8080 // HTTP requests of clients
	adminPort   = 8081 // admin interface
	memberPort  = 7946 // membership packets, UDP
	policyPort  = 7947 // policy log, TCP
)

// fleetCount numbers the fleets of this process. Each fleet uses its own network in 127.0.0.0/8 with fixed ports. Free
// ports assigned by the kernel could be taken by another process before the instance binds them. The process ID is part
// of the network, so that fleets of several processes rarely get the same one.
var fleetCount atomic.Int64

// Fleet is a cluster of balancers on loopback. Each has its own address and a relay for its membership packets.
type Fleet struct {
	Rules *faultinject.Rules // rules of the links between instances

	settings       Settings
	packets        *faultinject.PacketRelays
	streams        *faultinject.StreamRelays
	names          []string
	addresses      []netip.Addr
	relayAddresses []string // relay addresses for membership packets, by instance
	processes      map[string]*faultinject.Process
}

// New writes the files of a fleet and sets up its relays. It does not start the processes; Fleet.Start does.
func New(settings Settings) (*Fleet, error) {
	if settings.Instances < 1 || settings.Instances > maxInstances {
		return nil, fmt.Errorf("new fleet: want 1 to %d instances, got %d", maxInstances, settings.Instances)
	}
	rules := faultinject.NewRules(settings.Seed)
	f := &Fleet{
		Rules: rules, settings: settings, packets: faultinject.NewPacketRelays(rules), streams: faultinject.NewStreamRelays(rules),
		processes: map[string]*faultinject.Process{},
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare sets up all relays and then writes all files, which contain the relay addresses.
func (f *Fleet) prepare() error {
	network := byte(fleetCount.Add(1))
	processByte := byte(10 + os.Getpid()%200)
	for i := range f.settings.Instances {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
		f.addresses = append(f.addresses, netip.AddrFrom4([4]byte{127, processByte, network, byte(i + 1)}))
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

// Start creates a fleet and starts its processes.
func Start(settings Settings) (*Fleet, error) {
	f, err := New(settings)
	if err != nil {
		return nil, err
	}
	if err := f.Start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Start starts all instances. It returns the error of the first one that cannot be started.
func (f *Fleet) Start() error {
	for i := range f.names {
		if err := f.Process(i).Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the running instances and closes the relays.
func (f *Fleet) Close() {
	for _, process := range f.processes {
		if process.Running() {
			_ = process.Kill() // fails only if the process has exited in the meantime
		}
	}
	f.packets.Close()
	f.streams.Close()
}

func (f *Fleet) address(i, port int) string {
	return netip.AddrPortFrom(f.addresses[i], uint16(port)).String()
}

// Platform returns the fake platform that the fleet uses.
func (f *Fleet) Platform() *platform.Platform { return f.settings.Platform }

// Names returns the names of the instances, by number.
func (f *Fleet) Names() []string { return f.names }

// Process returns the process of an instance.
func (f *Fleet) Process(i int) *faultinject.Process { return f.processes[f.names[i]] }

// AdminAddress returns the admin address of an instance.
func (f *Fleet) AdminAddress(i int) string { return f.address(i, adminPort) }

// RequestAddress returns the address at which an instance accepts requests.
func (f *Fleet) RequestAddress(i int) string { return f.address(i, requestPort) }

// RelayAddress returns the address of the relay through which other instances send membership packets to an instance.
func (f *Fleet) RelayAddress(i int) string { return f.relayAddresses[i] }

// FilePath returns the path of an instance's file with an extension: json or toml (configuration), log or store.
func (f *Fleet) FilePath(i int, extension string) string {
	return filepath.Join(f.settings.Dir, f.names[i]+"."+extension)
}

// StoreDir returns the store directory of an instance.
func (f *Fleet) StoreDir(i int) string { return f.FilePath(i, "store") }
