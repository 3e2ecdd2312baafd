package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/failover"
)

// grantLine matches a log line of a lease grant and captures the fencing token.
var grantLine = regexp.MustCompile(`msg="lease (?:acquired|taken over)".* token=(\d+) `)

// Leases returns the leases and their holders as an instance reports them.
func (f *Fleet) Leases(ctx context.Context, i int) (leases []failover.LeaseStatus, err error) {
	raw, err := admin.Call(ctx, f.AdminAddress(i), "/work", []byte("{}"))
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(raw, &leases)
	return leases, err
}

// EvidenceResponses returns the number of responses in the evidence on the candidate, summed over all running
// instances. Each response is in the evidence of exactly one instance.
func (f *Fleet) EvidenceResponses(ctx context.Context) (responses int, err error) {
	for i := range f.names {
		if !f.Process(i).Running() {
			continue
		}
		var evidence failover.EvidenceSummary
		if err := f.get(ctx, i, "/work/seen", &evidence); err != nil {
			return 0, err
		}
		responses += evidence.Responses
	}
	return responses, nil
}

// TakeOver makes an instance take over a lease, named as in the admin interface, such as "trial/n4".
func (f *Fleet) TakeOver(ctx context.Context, i int, lease string) error {
	_, err := admin.Call(ctx, f.AdminAddress(i), "/work/take", []byte(lease))
	return err
}

// CheckLeasesHeld returns an error unless an instance, observer, reports want leases, each held by a running instance.
func (f *Fleet) CheckLeasesHeld(ctx context.Context, observer, want int) error {
	leases, err := f.Leases(ctx, observer)
	if err != nil {
		return err
	}
	for _, lease := range leases {
		holder, err := InstanceNumber(lease.Holder)
		if err != nil || lease.Expired || !f.Process(holder).Running() {
			return fmt.Errorf("lease %+v has no running holder", lease)
		}
	}
	if len(leases) != want {
		return fmt.Errorf("%s reports %d leases, want %d: %+v", f.names[observer], len(leases), want, leases)
	}
	return nil
}

// InstanceNumber returns the number of the instance with a name.
func InstanceNumber(name string) (int, error) { return strconv.Atoi(strings.TrimPrefix(name, "n")) }

// GrantsByToken returns how often each fencing token was granted, according to the logs of all instances.
func (f *Fleet) GrantsByToken() map[string]int {
	grants := map[string]int{}
	for i := range f.names {
		for _, match := range grantLine.FindAllStringSubmatch(f.Process(i).Output(), -1) {
			grants[match[1]]++
		}
	}
	return grants
}
