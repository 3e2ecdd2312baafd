package main

import (
	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/config"
	"reflect"
	"sync"

	"github.com/sirupsen/logrus"
)

// figures bring the module's settings together: those of the configuration, as last read, under the policy of the fleet that
// is run. The module hears of them when they change.
type settingsSource struct {
	log      logrus.FieldLogger
	onChange func(decision.Settings)

	mu           sync.Mutex
	cfg          *config.Config
	policy       *policy.Policy    // nil: none
	trialsClosed bool              // no hit goes to a build on trial, for what the fleet has decided is not known here yet
	current      decision.Settings // as last handed over
}

func newSettingsSource(cfg *config.Config, log logrus.FieldLogger) *settingsSource {
	f := &settingsSource{log: log, cfg: cfg, trialsClosed: cfg.Operator != nil && cfg.Operator.Policy != nil}
	f.current, _ = f.resolve(f.policy) // without a policy there is nothing that could be wrong
	return f
}

// settings are those to begin with.
func (s *settingsSource) settings() decision.Settings { return s.current }

// under are the settings under a policy, with the lock held.
func (s *settingsSource) resolve(p *policy.Policy) (set decision.Settings, err error) {
	if set = s.cfg.Settings; p != nil {
		set, err = s.cfg.WithPolicy(p)
	}
	if s.trialsClosed {
		set.WithheldShare = 1
	}
	return set, err
}

// hand hands settings over if they are new, with the lock held.
func (s *settingsSource) publish(set decision.Settings) {
	if reflect.DeepEqual(s.current, set) {
		return
	}
	s.current = set
	if s.onChange != nil {
		s.onChange(set)
	}
	s.log.WithFields(logrus.Fields{
		"marshals": set.Instances, "control": set.Control, "hold_votes": set.HoldQuorum,
		"back_votes": set.RollbackQuorum, "withheld": set.WithheldShare, "halt": set.Halt,
	}).Info("settings taken")
}

// reread takes a configuration that was read again.
func (s *settingsSource) reload(next *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.cfg
	s.cfg = next
	set, err := s.resolve(s.policy)
	if err != nil {
		// Danger: the policy that all others run must not be dropped for a file.
		s.cfg = was
		s.log.WithError(err).Error("configuration not taken: the policy that is run does not go with it")
		return
	}
	s.publish(set)
}

// check tells whether a policy could be run here.
func (s *settingsSource) check(body []byte) error {
	p, _, err := policy.Parse(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = s.cfg.WithPolicy(p)
	return err
}

// run runs a policy from now on.
func (s *settingsSource) apply(r policy.Decision) error {
	var p *policy.Policy
	if r.Record.Version > 0 {
		var err error
		if p, _, err = policy.Parse(r.Record.Body); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.trialsClosed
	s.trialsClosed = !r.TrialsAdmitted
	set, err := s.resolve(p)
	if err != nil {
		s.trialsClosed = was
		return err
	}
	s.policy = p
	s.publish(set)
	return nil
}
