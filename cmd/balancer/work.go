package main

import (
	"context"
	"fmt"
	"io"
	"ottershed/internal/admin"
	"ottershed/internal/cluster/failover"

	"github.com/urfave/cli/v3"
)

// workCommand is `ottershed work` with its own commands.
func leaseCommand(at cli.Flag, wrong cli.OnUsageErrorFunc) *cli.Command {
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	commands := []*cli.Command{
		{Name: "status", Usage: "who owns which piece of work, under which token", Flags: []cli.Flag{at, asJSON}, Action: leaseStatus},
		{
			Name: "take", Usage: "have the marshal take a piece over whose lease has lapsed", ArgsUsage: "WORK", Flags: []cli.Flag{at},
			Action: takeOverLease,
		},
	}
	return withCommands("work", "the work that marshals have in hand, and who has taken it over", commands, wrong)
}

func takeOverLease(ctx context.Context, cmd *cli.Command) error {
	if _, err := admin.Call(ctx, cmd.String("at"), "/work/take", []byte(cmd.Args().First())); err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, "taken")
	return nil
}

func leaseStatus(ctx context.Context, cmd *cli.Command) error {
	var lines []failover.LeaseStatus
	return show(ctx, cmd, "/work", []byte("{}"), &lines, func(w io.Writer) {
		fmt.Fprintln(w, "WORK\tOWNER\tSTATE\tTOKEN\tLEASE\tCHECKPOINT\tMERGED")
		for _, l := range lines {
			lease, written, merged := "lapsed", "none", ""
			switch {
			case l.AbandonReason != "":
				lease = "ended: " + l.AbandonReason
			case !l.Expired:
				lease = fmt.Sprintf("%.1f s", l.RemainingMS/1000)
			}
			if l.CheckpointAt > 0 {
				written = fmt.Sprintf("%.1f s ago", l.CheckpointAge/1000)
			}
			for _, p := range l.Merged {
				merged += fmt.Sprintf("%s:%d ", p.ID, p.Token)
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%s\t%s\n", l.Lease, l.Holder, l.HolderState, l.Token, lease, written, merged)
		}
	})
}
