package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"ottershed/internal/admin"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/policysync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// proposeWait is a little more than a marshal takes to give a proposal up.
const proposeWait = 25 * time.Second

// policyCommand is `ottershed policy` with its own commands.
func policyCommand(at cli.Flag, wrong cli.OnUsageErrorFunc) *cli.Command {
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	id := &cli.StringFlag{Name: "id", Usage: "the `ID` of an earlier try whose end is not known"}
	base := &cli.Uint64Flag{Name: "base", Usage: "only if `VERSION` still holds"}
	commands := []*cli.Command{
		{
			Name: "propose", Usage: "have all marshals run the policy of a file, or none", ArgsUsage: "FILE",
			Flags: []cli.Flag{at, id, base}, Action: proposePolicy,
		},
		{Name: "check", Usage: "read a policy's file and say what is wrong with it", ArgsUsage: "FILE", Action: checkPolicy},
		{Name: "status", Usage: "which marshal runs which version", Flags: []cli.Flag{at, asJSON}, Action: policyStatus},
		{Name: "history", Usage: "the versions so far", Flags: []cli.Flag{at, asJSON}, Action: policyHistory},
	}
	return withCommands("policy", "what all marshals of a fleet run, everywhere or nowhere", commands, wrong)
}

// withCommands is a command that has commands of its own, each with no argument or the one that its usage names.
func withCommands(name, usage string, commands []*cli.Command, wrong cli.OnUsageErrorFunc) *cli.Command {
	for _, c := range commands {
		want := 0
		if c.ArgsUsage != "" {
			want = 1
		}
		c.OnUsageError, c.HideHelpCommand = wrong, true
		c.Before = func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			if n := cmd.Args().Len(); n != want {
				return ctx, fmt.Errorf("%w: %s %s takes %d arguments, got %d; see --help", errUsage, name, cmd.Name, want, n)
			}
			return ctx, nil
		}
	}
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, OnUsageError: wrong, HideHelpCommand: true,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("%w: no command %s %q; see --help", errUsage, name, cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		},
	}
}

// readPolicy reads and checks the file that is named.
func readPolicy(cmd *cli.Command) ([]byte, error) {
	path := cmd.Args().First()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	_, body, err := policy.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return body, nil
}

func checkPolicy(_ context.Context, cmd *cli.Command) error {
	body, err := readPolicy(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s\n", body)
	return nil
}

func proposePolicy(ctx context.Context, cmd *cli.Command) error {
	body, err := readPolicy(cmd)
	if err != nil {
		return err
	}
	request := policysync.ProposeRequest{Policy: body, ID: cmd.String("id")}
	if cmd.IsSet("base") {
		v := policy.Version(cmd.Uint64("base"))
		request.Base = &v
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeWait)
	defer cancel()
	response, err := admin.Call(ctx, cmd.String("at"), "/policy/propose", raw)
	if err != nil {
		return err
	}
	var p policysync.ProposeResult
	if err := json.Unmarshal(response, &p); err != nil {
		return err
	}
	again := ""
	if p.Duplicate {
		again = ", which it had got before"
	}
	fmt.Fprintf(cmd.Root().Writer, "version %d%s (id %s)\n", p.Version, again, p.ID)
	return nil
}

// show asks a marshal and prints its answer, as it is with --json, else as a table.
func show(ctx context.Context, cmd *cli.Command, path string, request []byte, response any, table func(w io.Writer)) error {
	raw, err := admin.Call(ctx, cmd.String("at"), path, request)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		_, err = cmd.Root().Writer.Write(raw)
		return err
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func policyStatus(ctx context.Context, cmd *cli.Command) error {
	var s policysync.FleetStatus
	return show(ctx, cmd, "/policy/status", nil, &s, func(w io.Writer) {
		fmt.Fprintln(w, "MARSHAL\tROLE\tVERSION\tSUM\tTRIALS\t")
		for _, m := range s.Members {
			trials, version := "closed", fmt.Sprint(m.Version)
			if m.TrialsAdmitted {
				trials = "open"
			}
			if m.Unreachable != "" {
				m.Role, version, m.Sum, trials = "not reached", "?", "?", "?"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Role, version, m.Sum, trials, m.Failure)
		}
	})
}

func policyHistory(ctx context.Context, cmd *cli.Command) error {
	var past []policysync.HistoryEntry
	return show(ctx, cmd, "/policy/history", nil, &past, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tAT\tBY\tPOLICY")
		for _, p := range past {
			var line bytes.Buffer
			json.Compact(&line, p.Policy) // it came from JSON
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", p.Version, time.UnixMilli(int64(p.At)).UTC().Format(time.RFC3339), p.Proposer, line.String())
		}
	})
}
