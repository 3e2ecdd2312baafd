package decision

import "hash/crc32"

// stickyKeys is the set of keys that a build has responded to, as 16-bit hashes, which bound its size. A collision
// only keeps another key at the newer build too.
type stickyKeys struct {
	build  Build
	hashes map[uint16]bool
}

// hashKey returns a hash of a key. The hash is 0 only for an empty key.
func hashKey(key Key) uint32 {
	return crc32.ChecksumIEEE([]byte(key)) | uint32(min(1, len(key)))
}

// stickyHash returns the 16 bits of a key's hash that stickyKeys stores.
func stickyHash(keyHash uint32) uint16 { return uint16(keyHash >> 16) }

// record adds the hash of a key that a build has responded to. A newer build discards the keys of earlier builds.
func (s *stickyKeys) record(build Build, keyHash uint32) {
	if build > s.build {
		s.build, s.hashes = build, map[uint16]bool{}
	}
	s.hashes[stickyHash(keyHash)] = true
}

// clear removes all keys, so that they may go to any build again, for example after a rollback.
func (s *stickyKeys) clear() { s.build, s.hashes = 0, map[uint16]bool{} }

// recordStickyKey records the key of a request that succeeded at the newest build or a later one. It does nothing
// without Settings.StickyKeys, before the first stage update, or if the request has no key.
func (b *Balancer) recordStickyKey(req *request, ep *endpoint) {
	if req.keyHash != 0 && b.settings.StickyKeys && b.trial.updateReceived && ep.Build >= b.trial.update.Build {
		b.sticky.record(ep.Build, req.keyHash)
	}
}
