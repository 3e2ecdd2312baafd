package main

import (
	"reflect"
	"sync"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/config"
)

// settingsSource is the one place where the settings of the configuration, as last read, and the policy that the cluster
// runs come together. It publishes the settings that follow when they change.
type settingsSource struct {
	log      logrus.FieldLogger
	onChange func(decision.Settings) // nil: nobody is told

	mu            sync.Mutex
	cfg           *config.Config
	policy        *policy.Policy    // nil: none
	trialsBlocked bool              // no request goes to a build in trial: what the cluster has decided is not known here yet
	current       decision.Settings // as last published
}

func newSettingsSource(cfg *config.Config, log logrus.FieldLogger) *settingsSource {
	source := &settingsSource{log: log, cfg: cfg}
	source.trialsBlocked = cfg.Operator != nil && cfg.Operator.Policy != nil
	source.current, _ = source.resolve(nil) // without a policy nothing can be wrong
	return source
}

// settings are those to begin with.
func (s *settingsSource) initial() decision.Settings { return s.current }

// resolve returns the settings under a policy, nil for none. The lock is held.
func (s *settingsSource) resolve(running *policy.Policy) (decision.Settings, error) {
	settings := s.cfg.Settings
	var err error
	if running != nil {
		settings, err = s.cfg.WithPolicy(running)
	}
	if s.trialsBlocked {
		settings.WithheldShare = 1
	}
	return settings, err
}

// publish hands settings over if they are new. The lock is held.
func (s *settingsSource) publish(settings decision.Settings) {
	if reflect.DeepEqual(s.current, settings) {
		return
	}
	s.current = settings
	if s.onChange != nil {
		s.onChange(settings)
	}
	s.log.WithFields(logrus.Fields{
		"marshals": settings.Instances, "control": settings.Control, "hold_votes": settings.HoldQuorum,
		"back_votes": settings.RollbackQuorum, "withheld": settings.WithheldShare, "halt": settings.Halt,
	}).Info("settings taken")
}

// reload takes over a configuration that was read again. The policy that the cluster runs comes first: a configuration
// that does not go with it is not taken over.
func (s *settingsSource) reload(next *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.cfg
	s.cfg = next
	settings, err := s.resolve(s.policy)
	if err != nil {
		s.cfg = previous
		s.log.WithError(err).Error("configuration not reloaded: the running policy does not go with it")
		return
	}
	s.publish(settings)
}

// check tells whether this instance could run a policy.
func (s *settingsSource) check(body []byte) error {
	proposed, _, err := policy.Parse(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = s.cfg.WithPolicy(proposed)
	return err
}

// apply runs a policy from now on. One that can't be run changes nothing.
func (s *settingsSource) apply(decided policy.Decision) error {
	var running *policy.Policy
	if decided.Record.Version > 0 {
		var err error
		if running, _, err = policy.Parse(decided.Record.Body); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.trialsBlocked
	s.trialsBlocked = !decided.TrialsAdmitted
	settings, err := s.resolve(running)
	if err != nil {
		s.trialsBlocked = previous
		return err
	}
	s.policy = running
	s.publish(settings)
	return nil
}
