package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
)

// Members is the response of an instance to /members.
type Members struct {
	membership.View
	Counters gossip.Counters `json:"counters"`
}

// get decodes the JSON response of an instance's admin address to a request without a body.
func (f *Fleet) get(ctx context.Context, i int, path string, target any) error {
	raw, err := admin.Call(ctx, f.AdminAddress(i), path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("decode %s of %s: %w", path, f.names[i], err)
	}
	return nil
}

// Members returns an instance's view of the membership and its packet counters.
func (f *Fleet) Members(ctx context.Context, i int) (*Members, error) {
	members := &Members{}
	return members, f.get(ctx, i, "/members", members)
}

// CheckMemberState returns an error unless an instance, observer, has another instance, subject, in a state.
func (f *Fleet) CheckMemberState(ctx context.Context, observer, subject int, want membership.State) error {
	members, err := f.Members(ctx, observer)
	if err != nil {
		return err
	}
	member, known := members.Get(membership.Name(f.names[subject]))
	if !known || member.State != want {
		return fmt.Errorf("view of %s: %s is %v, known %v, want %v",
			f.names[observer], f.names[subject], member.State, known, want)
	}
	return nil
}

// CheckViews returns an error unless each running instance sees all running instances as alive and no other instance as
// alive or suspect.
func (f *Fleet) CheckViews(ctx context.Context) error {
	for i := range f.names {
		if !f.Process(i).Running() {
			continue
		}
		if err := f.checkView(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// checkView compares one instance's view with the processes that run.
func (f *Fleet) checkView(ctx context.Context, i int) error {
	members, err := f.Members(ctx, i)
	if err != nil {
		return err
	}
	for j, name := range f.names {
		member, known := members.Get(membership.Name(name))
		running := f.Process(j).Running()
		missing := running && (!known || member.State != membership.Alive)
		unexpected := !running && known && member.State <= membership.Suspect
		if missing || unexpected {
			return fmt.Errorf("view of %s: %s is %v, known %v, process running %v",
				f.names[i], name, member.State, known, running)
		}
	}
	return nil
}
