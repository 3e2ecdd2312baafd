package membership

import "slices"

// maxSyncPackets bounds the Records packets that a member sends in a probe period.
const maxSyncPackets = 64

// antiEntropy is the state of the periodic comparison of whole tables.
type antiEntropy struct {
	next        Millis // when the next digest is due
	joined      bool   // some member has sent a packet, or an initial roster is given
	packetsLeft int    // Records packets that may still be sent in this period
}

// startSync sends digests: to the seeds until a member responds, then to one random member at a time. Anti-entropy
// repairs what gossip has missed and merges the sides of a healed partition.
func (d *Detector) startSync() {
	d.sync.next = d.now + d.timing.syncInterval*(1+d.random.Next())/2
	if !d.sync.joined {
		d.sync.next = d.now + d.timing.period
		d.contactSeeds()
		return
	}
	for _, m := range d.sample(1, isPresent) {
		d.send(m, d.digest())
	}
	// After a partition each side holds the other for dead and would never contact it again.
	lost := d.sample(1, func(m *member) bool { return m.State == Dead })
	for _, m := range lost {
		d.send(m, d.digest())
	}
	if len(lost) == 0 {
		d.contactLostSeed()
	}
}

func (d *Detector) contactSeeds() {
	for _, seed := range d.settings.Seeds {
		if seed.Name != d.settings.Name {
			d.sendTo(seed.Address, nil, d.digest())
		}
	}
}

// contactLostSeed sends a digest to a random seed if that is neither alive nor suspected.
func (d *Detector) contactLostSeed() {
	seeds := d.settings.Seeds
	if len(seeds) == 0 {
		return
	}
	seed := seeds[int(d.random.Next()*float64(len(seeds)))]
	if m := d.table.get(seed.Name); seed.Name != d.settings.Name && (m == nil || m.State >= Dead) {
		d.sendTo(seed.Address, m, d.digest())
	}
}

func (d *Detector) digest() Packet { return Packet{Kind: Digest, Sums: d.checksums()} }

func (d *Detector) checksums() []uint64 { return slices.Clone(d.table.checksums[:]) }

// handleDigest sends the records that differ, with this member's own checksums to ask for records in return.
func (d *Detector) handleDigest(p *Packet, sender *member) {
	if len(p.Sums) != buckets {
		return
	}
	differing := d.differing(p.Sums)
	if len(differing) > 0 {
		d.sendRecords(differing, sender, d.checksums())
	}
}

// handleRecords sends records in return if the sender asks for them; the updates of p are applied already.
func (d *Detector) handleRecords(p *Packet, sender *member) {
	if len(p.Sums) == buckets {
		d.sendRecords(d.differing(p.Sums), sender, nil)
	}
}

// differing is the set of buckets whose checksums differ.
func (d *Detector) differing(sums []uint64) map[int]bool {
	differing := map[int]bool{}
	for bucket, sum := range sums {
		if sum != d.table.checksums[bucket] {
			differing[bucket] = true
		}
	}
	return differing
}

// sendRecords sends the members of some buckets in random order, in as many packets as the period still allows. A
// digest is small and its response large: the bound limits the amplification of forged digests.
func (d *Detector) sendRecords(wanted map[int]bool, receiver *member, sums []uint64) {
	if len(wanted) == 0 {
		return
	}
	pages := recordPages{detector: d, receiver: receiver}
	pages.begin(sums)
	order := d.newWalk()
	for m := order.next(d.table); m != nil; m = order.next(d.table) {
		if !wanted[bucketFor(m.Name)] || m.Name == receiver.Name {
			continue
		}
		if m.size() > pages.remaining && !pages.flush() {
			return
		}
		pages.packet.Updates = append(pages.packet.Updates, m.Update)
		pages.remaining -= m.size()
	}
	if len(pages.packet.Updates) > 0 || sums != nil {
		pages.flush()
	}
}

// recordPages divides records into packets. Only the first packet carries checksums.
type recordPages struct {
	detector  *Detector
	receiver  *member
	packet    Packet
	remaining int // bytes that the packet can still take
}

func (r *recordPages) begin(sums []uint64) {
	r.packet = Packet{Kind: Records, Sums: sums}
	r.remaining = maxPacketBytes - r.packet.size() - r.detector.self.size()
}

// flush sends the packet and begins the next; false if this period allows no more.
func (r *recordPages) flush() bool {
	if r.detector.sync.packetsLeft <= 0 {
		return false
	}
	r.detector.sync.packetsLeft--
	r.detector.send(r.receiver, r.packet)
	r.begin(nil)
	return true
}
