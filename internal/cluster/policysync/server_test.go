package policysync

import (
	"fmt"
	"testing"
	"time"
)

// Guards against unbounded growth and against a known watcher that is lost at the limit: a new watcher is kept only if
// others have not polled for watcherTTL, a known one always.
func TestFullWatcherRegistryReplacesExpired(t *testing.T) {
	registry := &watcherRegistry{members: map[string]MemberStatus{}}
	now := 1e12
	for i := range maxWatchers {
		registry.record(MemberStatus{Name: fmt.Sprint("w", i)}, now)
	}
	ttl := float64(watcherTTL / time.Millisecond)
	registry.record(MemberStatus{Name: "new"}, now+ttl)
	if _, exists := registry.members["new"]; exists || len(registry.list()) != maxWatchers {
		t.Errorf("at the limit: got %d watchers, new one kept: %v, want %d, false", len(registry.list()), exists, maxWatchers)
	}
	registry.record(MemberStatus{Name: "w0", Version: 3}, now+ttl)
	if m := registry.members["w0"]; m.Version != 3 || m.ReportedAt != now+ttl {
		t.Errorf("known watcher: got %+v, want version 3 reported at %.0f ms", m, now+ttl)
	}
	registry.record(MemberStatus{Name: "new"}, now+ttl+1)
	if _, exists := registry.members["new"]; !exists || len(registry.list()) != 2 {
		t.Errorf("after watcherTTL: got %d watchers, new one kept: %v, want 2, true", len(registry.list()), exists)
	}
}
