// Package config reads an instance's configuration, checks it and fills in defaults. A flag on the command line takes
// precedence over the environment, the environment over the file, and the file over the defaults. docs/configuration.md
// lists all keys.
//
// Read reads the platform's file (JSON) at the start, and Reread reads it again while the instance runs. ReadOperator reads
// the operator's file (TOML). An error names the invalid key: it is a KeyError, or a settings.FieldError for a key below
// settings.
//
//	config.go         Config and Limits: the configuration, and which part of it a reload applies
//	file.go           the platform's file: format, precedence, checks
//	operator.go       Operator: the configuration from the operator's file
//	operatorfile.go   the operator's file: format, checks
package config
