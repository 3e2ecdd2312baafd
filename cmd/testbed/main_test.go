package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// The help of each subcommand explains the command and its flags, and contains an example that calls the command.
func TestHelpDescribesCommandsAndFlags(t *testing.T) {
	for _, command := range newProgram().Commands {
		t.Run(command.Name, func(t *testing.T) {
			var out bytes.Buffer
			program := newProgram()
			program.Writer = &out
			if err := program.Run(t.Context(), []string{"testbed", command.Name, "--help"}); err != nil {
				t.Fatalf("testbed %s --help: %v", command.Name, err)
			}
			help := out.String()
			if !strings.Contains(help, "bin/testbed "+command.Name+" ") || !strings.Contains(help, command.Usage) {
				t.Errorf("%s: help lacks the usage or an example:\n%s", command.Name, &out)
			}
			for _, flag := range command.Flags {
				if documented, ok := flag.(cli.DocGenerationFlag); !ok || documented.GetUsage() == "" {
					t.Errorf("flag %v has no usage text", flag.Names())
				}
			}
		})
	}
}

// The flags have the names that operators' scripts use.
func TestFlagNamesStay(t *testing.T) {
	const shared = "program bear-pause detect-within elect-within seed chart "
	for name, want := range map[string]string{
		"members":  shared + "processes simulated rounds simulated-loss loss watch",
		"policy":   shared + "processes versions rounds",
		"takeover": shared + "marshals lease rounds kills",
		"fleet":    shared + "marshals lease servers script clients",
		"days":     "step lines chart columns",
	} {
		command := newProgram().Command(name)
		if command == nil {
			t.Errorf("subcommand %s does not exist", name)
			continue
		}
		var flags []string
		for _, flag := range command.Flags {
			flags = append(flags, flag.Names()[0])
		}
		if got := strings.Join(flags, " "); got != want {
			t.Errorf("%s: got flags %s, want %s", name, got, want)
		}
	}
}
