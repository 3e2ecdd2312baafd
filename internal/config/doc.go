// Package config reads an instance's configuration, checks it and puts defaults in. A flag on the command line takes
// precedence over the environment, that over the file, and the file over the defaults. docs/configuration.md lists
// all keys.
//
// Read reads the platform's file (JSON) at the start, Reread again while the instance runs; ReadOperator reads the
// operator's own file (TOML). An error names the key at fault: a KeyError, or a settings.FieldError below settings.
//
//	config.go         Config and Limits: what holds, and what can change while an instance runs
//	file.go           the platform's file: its form, precedence, checks
//	operator.go       Operator: what holds of the operator's file
//	operatorfile.go   the operator's file: its form, its checks
package config
