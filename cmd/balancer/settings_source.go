package main

import (
	"reflect"
	"sync"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/config"
)

// settingsSource derives the settings in force from the newest configuration and the cluster's policy, and publishes them
// when they change. No other code combines the two.
type settingsSource struct {
	log      logrus.FieldLogger
	onChange func(decision.Settings) // called with the new settings under mu; nil: no receiver

	mu            sync.Mutex
	cfg           *config.Config    // the newest configuration whose settings are compatible with policy
	policy        *policy.Policy    // the active policy of the cluster; nil: none
	trialsBlocked bool              // no request goes to a candidate, since this instance may not know the newest policy
	current       decision.Settings // the last published settings
}

func newSettingsSource(cfg *config.Config, log logrus.FieldLogger) *settingsSource {
	source := &settingsSource{log: log, cfg: cfg}
	source.trialsBlocked = cfg.Operator != nil && cfg.Operator.Policy != nil
	source.current, _ = source.resolve(nil) // only a policy can cause an error
	return source
}

// initial returns the settings at the start. It must not be called after the first reload or policy.
func (s *settingsSource) initial() decision.Settings { return s.current }

// resolve returns the settings of the configuration under a policy, nil for none. The caller holds mu.
func (s *settingsSource) resolve(active *policy.Policy) (decision.Settings, error) {
	settings := s.cfg.Settings
	var err error
	if active != nil {
		settings, err = s.cfg.WithPolicy(active)
	}
	if s.trialsBlocked {
		settings.WithheldShare = 1
	}
	return settings, err
}

// publish calls onChange if settings differ from the last published ones. The caller holds mu.
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
	}).Info("settings applied")
}

// reload applies the settings of a new configuration. The cluster's policy takes precedence: settings that are incompatible
// with it are not applied.
func (s *settingsSource) reload(next *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previousConfig := s.cfg
	s.cfg = next
	settings, err := s.resolve(s.policy)
	if err != nil {
		s.cfg = previousConfig
		s.log.WithError(err).Error("settings not reloaded: incompatible with the active policy")
		return
	}
	s.publish(settings)
}

// check returns an error if this instance could not apply the policy in body.
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

// apply makes the policy in decided the active one, or none if its version is 0. It also blocks or admits trials as decided.
// If the policy can't be applied, apply changes nothing and returns the error.
func (s *settingsSource) apply(decided policy.Decision) error {
	var active *policy.Policy
	if decided.Record.Version > 0 {
		var err error
		if active, _, err = policy.Parse(decided.Record.Body); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wereTrialsBlocked := s.trialsBlocked
	s.trialsBlocked = !decided.TrialsAdmitted
	settings, err := s.resolve(active)
	if err != nil {
		s.trialsBlocked = wereTrialsBlocked
		return err
	}
	s.policy = active
	s.publish(settings)
	return nil
}
