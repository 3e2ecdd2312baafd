package decision

import "hash/crc32"

// stickyKeys are the keys that a build has answered, by a hash of 16 bits: the table is bounded, and a
// collision only keeps one more key with the newer build.
type stickyKeys struct {
	build  Build
	hashes map[uint16]bool
}

// hashKey is 0 for a request without a key only.
func hashKey(key Key) uint32 {
	return crc32.ChecksumIEEE([]byte(key)) | uint32(min(1, len(key)))
}

func stickyHash(key uint32) uint16 { return uint16(key >> 16) }

// stick notes that a build has answered a key. Keys of earlier builds are forgotten.
func (s *stickyKeys) record(build Build, key uint32) {
	if build > s.build {
		s.build, s.hashes = build, map[uint16]bool{}
	}
	s.hashes[stickyHash(key)] = true
}

// release lets all keys go to any build again, as a rollback does.
func (s *stickyKeys) clear() { s.build, s.hashes = 0, map[uint16]bool{} }

// stickKey notes the key of a request that succeeded at the candidate.
func (b *Balancer) recordStickyKey(req *request, ep *endpoint) {
	if req.key != 0 && b.settings.StickyKeys && b.trial.known && ep.Build >= b.trial.update.Build {
		b.sticky.record(ep.Build, req.key)
	}
}
