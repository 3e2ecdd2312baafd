package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/failover"
)

// leaseCommand returns the command group `work`, which lists and takes over leases.
func leaseCommand() *cli.Command {
	commands := []*cli.Command{
		{
			Name: "status", Usage: "print the holder, token and checkpoint of each lease",
			Flags: []cli.Flag{adminFlag(), jsonFlag()}, Action: printLeases,
		},
		{
			Name: "take", Usage: "have the instance take over a lease that has expired", ArgsUsage: "WORK",
			Flags: []cli.Flag{adminFlag()}, Action: takeOverLease,
		},
	}
	return groupCommand("work", "leases on the work of instances, and their takeover", commands)
}

func takeOverLease(ctx context.Context, cmd *cli.Command) error {
	if _, err := admin.Call(ctx, cmd.String("at"), "/work/take", []byte(cmd.Args().First())); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, "taken")
	return err
}

func printLeases(ctx context.Context, cmd *cli.Command) error {
	var leases []failover.LeaseStatus
	return printResponse(ctx, cmd, "/work", []byte("{}"), &leases, func(rows *strings.Builder) {
		rows.WriteString("WORK\tOWNER\tSTATE\tTOKEN\tLEASE\tCHECKPOINT\tMERGED\n")
		for i := range leases {
			writeLeaseRow(rows, &leases[i])
		}
	})
}

// writeLeaseRow writes a row of the table of leases, with tabs between columns.
func writeLeaseRow(rows *strings.Builder, status *failover.LeaseStatus) {
	remaining, checkpoint, merged := "lapsed", "none", ""
	switch {
	case status.AbandonReason != "":
		remaining = "ended: " + status.AbandonReason
	case !status.Expired:
		remaining = fmt.Sprintf("%.1f s", status.RemainingMS/1000)
	}
	if status.CheckpointAt > 0 {
		checkpoint = fmt.Sprintf("%.1f s ago", status.CheckpointAge/1000)
	}
	for _, grant := range status.Merged {
		merged += fmt.Sprintf("%s:%d ", grant.ID, grant.Token)
	}
	fmt.Fprintf(rows, "%s\t%s\t%v\t%d\t%s\t%s\t%s\n",
		status.Lease, status.Holder, status.HolderState, status.Token, remaining, checkpoint, merged)
}
