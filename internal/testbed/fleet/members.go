package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
)

// Members is an instance's answer to `balancer members`.
type Members struct {
	membership.View
	Counters gossip.Counters `json:"counters"`
}

// get reads an answer of an instance's admin address.
func (f *Fleet) get(ctx context.Context, i int, path string, to any) error {
	raw, err := admin.Call(ctx, f.Admin(i), path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s of %s: %w", path, f.names[i], err)
	}
	return nil
}

// Members is an instance's view of the membership.
func (f *Fleet) Members(ctx context.Context, i int) (*Members, error) {
	members := &Members{}
	return members, f.get(ctx, i, "/members", members)
}

// Holds checks that an instance sees another one in a state.
func (f *Fleet) Holds(ctx context.Context, of, whom int, want membership.State) error {
	members, err := f.Members(ctx, of)
	if err != nil {
		return err
	}
	member, known := members.Get(membership.Name(f.names[whom]))
	if !known || member.State != want {
		return fmt.Errorf("%s sees %s as %v, known %v, want %v", f.names[of], f.names[whom], member.State, known, want)
	}
	return nil
}

// Agree checks that all running instances have the same view: all running ones are alive, and nobody else is.
func (f *Fleet) Agree(ctx context.Context) error {
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

// checkView checks one instance's view against the processes that run.
func (f *Fleet) checkView(ctx context.Context, i int) error {
	members, err := f.Members(ctx, i)
	if err != nil {
		return err
	}
	for j, name := range f.names {
		member, known := members.Get(membership.Name(name))
		running := f.Process(j).Running()
		missing := running && (!known || member.State != membership.Alive)
		surplus := !running && known && member.State <= membership.Suspect
		if missing || surplus {
			return fmt.Errorf("%s sees %s as %v, known %v, running %v", f.names[i], name, member.State, known, running)
		}
	}
	return nil
}
