package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// The help of each subcommand explains it and its flags, and has an example that calls it.
func TestHelp(t *testing.T) {
	for _, command := range newProgram().Commands {
		t.Run(command.Name, func(t *testing.T) {
			var out bytes.Buffer
			program := newProgram()
			program.Writer = &out
			if err := program.Run(t.Context(), []string{"testbed", command.Name, "--help"}); err != nil {
				t.Fatal(err)
			}
			help := out.String()
			if !strings.Contains(help, "bin/testbed "+command.Name+" ") || !strings.Contains(help, command.Usage) {
				t.Errorf("help without usage or example:\n%s", &out)
			}
			for _, flag := range command.Flags {
				if documented, ok := flag.(cli.DocGenerationFlag); !ok || documented.GetUsage() == "" {
					t.Errorf("flag %v has no description", flag.Names())
				}
			}
		})
	}
}

// The flags are those that scripts of operators use.
func TestFlags(t *testing.T) {
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
			t.Errorf("no subcommand %s", name)
			continue
		}
		var flags []string
		for _, flag := range command.Flags {
			flags = append(flags, flag.Names()[0])
		}
		if got := strings.Join(flags, " "); got != want {
			t.Errorf("%s has the flags %s, want %s", name, got, want)
		}
	}
}
