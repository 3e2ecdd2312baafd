package policysync

import (
	"fmt"
	"testing"
	"time"
)

// At the limit a new watcher is kept only where another has stopped polling; a known one always.
func TestFullWatcherRegistryReplacesExpired(t *testing.T) {
	registry := &watcherRegistry{members: map[string]MemberStatus{}}
	now := 1e12
	for i := range maxWatchers {
		registry.record(MemberStatus{Name: fmt.Sprint("w", i)}, now)
	}
	ttl := float64(watcherTTL / time.Millisecond)
	registry.record(MemberStatus{Name: "new"}, now+ttl)
	if _, exists := registry.members["new"]; exists || len(registry.list()) != maxWatchers {
		t.Errorf("%d watchers, the new one among them: %v", len(registry.list()), exists)
	}
	registry.record(MemberStatus{Name: "w0", Version: 3}, now+ttl)
	if m := registry.members["w0"]; m.Version != 3 || m.ReportedAt != now+ttl {
		t.Errorf("a known watcher: %+v", m)
	}
	registry.record(MemberStatus{Name: "new"}, now+ttl+1)
	if _, exists := registry.members["new"]; !exists || len(registry.list()) != 2 {
		t.Errorf("%d watchers, the new one among them: %v", len(registry.list()), exists)
	}
}
