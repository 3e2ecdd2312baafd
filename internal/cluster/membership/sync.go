package membership

import "slices"

// maxSyncPackets is the maximum number of Records packets that a member sends in a probe period.
const maxSyncPackets = 64

// antiEntropy is the state of the periodic comparison of this member's table with those of other members.
type antiEntropy struct {
	nextSync    Millis // Unix time at which the next digest is due
	joined      bool   // a packet of another member was received, or an initial roster is given
	packetsLeft int    // Records packets that may still be sent in this period
}

// startSync sends digests: to the seeds until a member responds, then to one random member at a time. Anti-entropy
// delivers updates that gossip did not, and merges the sides of a healed partition.
func (d *Detector) startSync() {
	d.sync.nextSync = d.now + d.timing.syncInterval*(1+d.random.Float64())/2
	if !d.sync.joined {
		d.sync.nextSync = d.now + d.timing.period
		d.contactSeeds()
		return
	}
	for _, m := range d.sample(1, isPresent) {
		d.send(m, d.digest())
	}
	// During a partition each side declares the other dead. Without digests to dead members, neither side would contact
	// the other after the partition has healed.
	dead := d.sample(1, func(m *member) bool { return m.State == Dead })
	for _, m := range dead {
		d.send(m, d.digest())
	}
	if len(dead) == 0 {
		d.contactAbsentSeed()
	}
}

// contactSeeds sends a digest to each seed but this member itself.
func (d *Detector) contactSeeds() {
	for _, seed := range d.settings.Seeds {
		if seed.Name != d.settings.Name {
			d.sendTo(seed.Address, nil, d.digest())
		}
	}
}

// contactAbsentSeed draws a seed at random and sends it a digest if it is neither alive nor suspected.
func (d *Detector) contactAbsentSeed() {
	seeds := d.settings.Seeds
	if len(seeds) == 0 {
		return
	}
	seed := seeds[int(d.random.Float64()*float64(len(seeds)))]
	if m := d.table.get(seed.Name); seed.Name != d.settings.Name && (m == nil || m.State >= Dead) {
		d.sendTo(seed.Address, m, d.digest())
	}
}

// digest returns a Digest of this member's table.
func (d *Detector) digest() Packet { return Packet{Kind: Digest, Checksums: d.checksums()} }

// checksums returns a copy of the table's checksums, by bucket.
func (d *Detector) checksums() []uint64 { return slices.Clone(d.table.checksums[:]) }

// handleDigest sends the records of the buckets that differ. It adds this member's own checksums, by which the receiver
// sends its records in return. It sends nothing if no bucket differs, or if the number of checksums is wrong.
func (d *Detector) handleDigest(p *Packet, sender *member) {
	if len(p.Checksums) != bucketCount {
		return
	}
	differing := d.differingBuckets(p.Checksums)
	if len(differing) > 0 {
		d.sendRecords(differing, sender, d.checksums())
	}
}

// handleRecords sends records in return if the packet has checksums. The updates of p are already applied.
func (d *Detector) handleRecords(p *Packet, sender *member) {
	if len(p.Checksums) == bucketCount {
		d.sendRecords(d.differingBuckets(p.Checksums), sender, nil)
	}
}

// differingBuckets returns the set of buckets whose checksums differ from those of this member's table.
func (d *Detector) differingBuckets(checksums []uint64) map[int]bool {
	differing := map[int]bool{}
	for bucket, checksum := range checksums {
		if checksum != d.table.checksums[bucket] {
			differing[bucket] = true
		}
	}
	return differing
}

// sendRecords sends the members of some buckets in random order, in as many packets as this period still allows. A
// digest is small and its response is large, so maxSyncPackets limits the amplification of forged digests.
func (d *Detector) sendRecords(wanted map[int]bool, receiver *member, checksums []uint64) {
	if len(wanted) == 0 {
		return
	}
	batcher := recordBatcher{detector: d, receiver: receiver}
	batcher.startPacket(checksums)
	order := d.newWalk()
	for m := order.next(d.table); m != nil; m = order.next(d.table) {
		if !wanted[bucketFor(m.Name)] || m.Name == receiver.Name {
			continue
		}
		if m.size() > batcher.remaining && !batcher.flush() {
			return
		}
		batcher.packet.Updates = append(batcher.packet.Updates, m.Update)
		batcher.remaining -= m.size()
	}
	if len(batcher.packet.Updates) > 0 || checksums != nil {
		batcher.flush()
	}
}

// recordBatcher divides records into packets for one receiver. Only the first packet carries checksums.
type recordBatcher struct {
	detector  *Detector
	receiver  *member
	packet    Packet
	remaining int // bytes left in the packet
}

// startPacket starts a new packet.
func (r *recordBatcher) startPacket(checksums []uint64) {
	r.packet = Packet{Kind: Records, Checksums: checksums}
	r.remaining = maxPacketBytes - r.packet.size() - r.detector.self.size()
}

// flush sends the packet and starts the next. It returns false if no more packets are allowed in this period.
func (r *recordBatcher) flush() bool {
	if r.detector.sync.packetsLeft <= 0 {
		return false
	}
	r.detector.sync.packetsLeft--
	r.detector.send(r.receiver, r.packet)
	r.startPacket(nil)
	return true
}
