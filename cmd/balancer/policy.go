package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/policysync"
)

// proposeTimeout limits how long the command `policy propose` waits for the response of an instance. It is longer than
// maxProposeWait in internal/cluster/policysync, after which the instance abandons the proposal.
const proposeTimeout = 25 * time.Second

// Layout of the tables that commands print.
const (
	tableTabWidth = 8
	tablePadding  = 2
)

// policyCommand returns the command group `policy`, which proposes, checks and lists versions of a cluster's policy.
func policyCommand() *cli.Command {
	id := &cli.StringFlag{Name: "id", Usage: "the `ID` of an earlier attempt whose result is unknown"}
	base := &cli.Uint64Flag{Name: "base", Usage: "reject the proposal unless `VERSION` is still the newest"}
	commands := []*cli.Command{
		{
			Name: "propose", Usage: "have all instances apply the policy in a file, or none", ArgsUsage: "FILE",
			Flags: []cli.Flag{adminFlag(), id, base}, Action: proposePolicy,
		},
		{Name: "check", Usage: "check a policy file, and print the policy or the error", ArgsUsage: "FILE", Action: checkPolicy},
		{
			Name: "status", Usage: "print which version each instance has applied",
			Flags: []cli.Flag{adminFlag(), jsonFlag()}, Action: printPolicyStatus,
		},
		{
			Name: "history", Usage: "print all versions so far",
			Flags: []cli.Flag{adminFlag(), jsonFlag()}, Action: printPolicyHistory,
		},
	}
	return groupCommand("policy", "the policy that all instances of a cluster share", commands)
}

// readPolicy reads and checks the file that the argument names, and returns the policy in canonical form.
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

// checkPolicy prints the policy of a file in canonical form, or returns the error of an invalid one.
func checkPolicy(_ context.Context, cmd *cli.Command) error {
	body, err := readPolicy(cmd)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s\n", body)
	return err
}

func proposePolicy(ctx context.Context, cmd *cli.Command) error {
	body, err := readPolicy(cmd)
	if err != nil {
		return err
	}
	request := policysync.ProposeRequest{Policy: body, ID: cmd.String("id")}
	if cmd.IsSet("base") {
		base := policy.Version(cmd.Uint64("base"))
		request.BaseVersion = &base
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := admin.Call(ctx, cmd.String("at"), "/policy/propose", raw)
	if err != nil {
		return err
	}
	var result policysync.ProposeResult
	if err := json.Unmarshal(response, &result); err != nil {
		return fmt.Errorf("decode response to /policy/propose: %w", err)
	}
	duplicate := ""
	if result.Duplicate {
		duplicate = ", already committed by an earlier proposal"
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "version %d%s (id %s)\n", result.Version, duplicate, result.ID)
	return err
}

// printResponse requests a path of an instance's admin interface and prints the response. With --json it prints the JSON
// unchanged, otherwise a table. It decodes the JSON into response and then calls writeRows, which writes the rows with tabs
// between columns.
func printResponse(ctx context.Context, cmd *cli.Command, path string, request []byte, response any,
	writeRows func(*strings.Builder),
) error {
	raw, err := admin.Call(ctx, cmd.String("at"), path, request)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		_, err = cmd.Root().Writer.Write(raw)
		return err
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return fmt.Errorf("decode response to %s: %w", path, err)
	}
	var rows strings.Builder
	writeRows(&rows)
	table := tabwriter.NewWriter(cmd.Root().Writer, 0, tableTabWidth, tablePadding, ' ', 0)
	if _, err := table.Write([]byte(rows.String())); err != nil {
		return err
	}
	return table.Flush()
}

func printPolicyStatus(ctx context.Context, cmd *cli.Command) error {
	var status policysync.FleetStatus
	return printResponse(ctx, cmd, "/policy/status", nil, &status, func(rows *strings.Builder) {
		rows.WriteString("MARSHAL\tROLE\tVERSION\tSUM\tTRIALS\t\n")
		for _, member := range status.Members {
			trials, version := "closed", fmt.Sprint(member.Version)
			if member.TrialsAdmitted {
				trials = "open"
			}
			if member.Unreachable != "" {
				member.Role, version, member.Checksum, trials = "not reached", "?", "?", "?"
			}
			fmt.Fprintf(rows, "%s\t%s\t%s\t%s\t%s\t%s\n",
				member.Name, member.Role, version, member.Checksum, trials, member.Failure)
		}
	})
}

func printPolicyHistory(ctx context.Context, cmd *cli.Command) error {
	var history []policysync.HistoryEntry
	return printResponse(ctx, cmd, "/policy/history", nil, &history, func(rows *strings.Builder) {
		rows.WriteString("VERSION\tAT\tBY\tPOLICY\n")
		for _, entry := range history {
			var policyText bytes.Buffer
			if err := json.Compact(&policyText, entry.Policy); err != nil {
				policyText.WriteString("unreadable: " + err.Error()) // not expected: entry.Policy was decoded from valid JSON
			}
			proposedAt := time.UnixMilli(int64(entry.ProposedAt)).UTC().Format(time.RFC3339)
			fmt.Fprintf(rows, "%d\t%s\t%s\t%s\n", entry.Version, proposedAt, entry.Proposer, policyText.String())
		}
	})
}
