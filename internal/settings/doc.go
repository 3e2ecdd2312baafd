// Package settings reads the settings of a deployment by their names, from the simulator's wire and from the
// configuration's JSON alike: Pairs or Flatten make a map of texts, ForModule and ForNetwork read it. Overlay puts
// settings of a policy over those of a running instance.
//
// The names and bounds of all settings are listed in docs/configuration.md. The first setting that is missing or out of
// bounds is reported as a FieldError.
//
//	values.go    reading one value with its bounds; FieldError
//	flatten.go   Pairs and Flatten
//	network.go   Network: what the sockets need
//	module.go    ForModule: what the decision module needs
//	overlay.go   Overlay
package settings
