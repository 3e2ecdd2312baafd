package main

import (
	"reflect"
	"sync"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/config"
)

// figures bring the module's settings together: those of the configuration, as last read, under the policy of the fleet that
// is run. The module hears of them when they change.
type figures struct {
	log    logrus.FieldLogger
	settle func(decision.Settings)

	mu      sync.Mutex
	cfg     *config.Config
	policy  *policy.Policy    // nil: none
	closed  bool              // no hit goes to a build on trial, for what the fleet has decided is not known here yet
	settled decision.Settings // as last handed over
}

func newFigures(cfg *config.Config, log logrus.FieldLogger) *figures {
	f := &figures{log: log, cfg: cfg, closed: cfg.Operator != nil && cfg.Operator.Policy != nil}
	f.settled, _ = f.under(f.policy) // without a policy there is nothing that could be wrong
	return f
}

// settings are those to begin with.
func (f *figures) settings() decision.Settings { return f.settled }

// under are the settings under a policy, with the lock held.
func (f *figures) under(p *policy.Policy) (set decision.Settings, err error) {
	if set = f.cfg.Settings; p != nil {
		set, err = f.cfg.Under(p)
	}
	if f.closed {
		set.Withheld = 1
	}
	return set, err
}

// hand hands settings over if they are new, with the lock held.
func (f *figures) hand(set decision.Settings) {
	if reflect.DeepEqual(f.settled, set) {
		return
	}
	f.settled = set
	if f.settle != nil {
		f.settle(set)
	}
	f.log.WithFields(logrus.Fields{"marshals": set.Marshals, "control": set.Control, "hold_votes": set.HoldVotes,
		"back_votes": set.BackVotes, "withheld": set.Withheld, "halt": set.Halt}).Info("settings taken")
}

// reread takes a configuration that was read again.
func (f *figures) reread(next *config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.cfg
	f.cfg = next
	set, err := f.under(f.policy)
	if err != nil {
		// Danger: the policy that all others run must not be dropped for a file.
		f.cfg = was
		f.log.WithError(err).Error("configuration not taken: the policy that is run does not go with it")
		return
	}
	f.hand(set)
}

// check tells whether a policy could be run here.
func (f *figures) check(body []byte) error {
	p, _, err := policy.Parse(body)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.cfg.Under(p)
	return err
}

// run runs a policy from now on.
func (f *figures) run(r policy.Run) error {
	var p *policy.Policy
	if r.Record.Version > 0 {
		var err error
		if p, _, err = policy.Parse(r.Record.Body); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.closed
	f.closed = !r.Open
	set, err := f.under(p)
	if err != nil {
		f.closed = was
		return err
	}
	f.policy = p
	f.hand(set)
	return nil
}
