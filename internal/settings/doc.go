// Package settings parses a deployment's settings by name. They come as pairs from the simulator or as JSON from the
// configuration file: ParsePairs and Flatten turn either form into a map from names to texts, and ForDecisionModule and
// ForNetwork read this map. Overlay applies the settings of a policy over those of a running instance.
//
// docs/configuration.md lists the names and bounds of all settings. The first setting that is missing or out of bounds is
// reported as a FieldError.
//
//	reader.go     settingReader: reads single settings and checks their bounds; FieldError
//	flatten.go    ParsePairs and Flatten
//	network.go    Network: the settings of connections and discovery
//	decision.go   ForDecisionModule: the settings of the decision module
//	overlay.go    Overlay
package settings
