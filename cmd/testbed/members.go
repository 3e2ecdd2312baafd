package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/membership/sim"
	"ottershed/internal/testbed/chart"
	"ottershed/internal/testbed/experiment"
	"ottershed/internal/testbed/fleet"
)

const (
	simulatedDelay    experiment.Millis = 2      // longest delay of a simulated packet, in milliseconds
	maxSimulatedWatch experiment.Millis = 10_000 // maximum of --watch, in ms: with many members, rates need less time
)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name: "members", Usage: "measure the time and cost of failure detection, and false detections",
		Description: "Kills instances one after another and measures when the others declare them dead. Then drops\n" +
			"packets and counts running instances that are declared dead. Clusters of processes are measured first, then\n" +
			"larger clusters of failure detectors in simulated time. Prints a row for each as soon as it is measured.\n\n" +
			"Example: five processes and a thousand simulated members:\n\n" +
			"   bin/testbed members --processes 5 --simulated 1000 --rounds 3 --watch 20s",
		Flags: append(
			sharedFlags(),
			&cli.IntSliceFlag{
				Name: "processes", Usage: "`SIZES` of the clusters of processes; 0: none", Value: []int{5, 20, 50},
			},
			&cli.IntSliceFlag{
				Name: "simulated", Usage: "`SIZES` of the clusters in simulated time; 0: none", Value: []int{1000, 10000},
			},
			&cli.IntFlag{Name: "rounds", Usage: "`NUMBER` of kills in each cluster", Value: 5},
			&cli.FloatSliceFlag{
				Name: "simulated-loss", Value: []float64{0.05, 0.2},
				Usage: "`SHARES` of packets lost in simulated clusters throughout; no loss is measured as well",
			},
			&cli.FloatFlag{
				Name: "loss", Usage: "`SHARE` of packets lost among processes while false deaths are counted", Value: 0.2,
			},
			&cli.DurationFlag{Name: "watch", Usage: "`TIME` over which false deaths are counted", Value: time.Minute},
		),
		Action: measureMembers,
	}
}

func measureMembers(ctx context.Context, cmd *cli.Command) error {
	fmt.Print(experiment.MembershipTableHeader())
	processes, err := measureProcesses(ctx, cmd)
	if err != nil {
		return err
	}
	simulated, err := measureSimulated(cmd)
	if err != nil {
		return err
	}
	path := cmd.String("chart")
	if path == "" {
		return nil
	}
	series := detectionSeries(append(processes, simulated...))
	return chart.Distribution(path, "time from a kill to its declaration by another instance", "seconds", series)
}

// measureProcesses measures clusters of processes and prints their results.
func measureProcesses(ctx context.Context, cmd *cli.Command) (results []*experiment.MembershipResult, err error) {
	for _, size := range cmd.IntSlice("processes") {
		if size <= 0 {
			continue
		}
		err := withFleet(cmd, size, func(settings fleet.Settings) error {
			rounds, loss, watch := cmd.Int("rounds"), cmd.Float("loss"), cmd.Duration("watch")
			result, err := experiment.MeasureProcessMembership(ctx, settings, rounds, loss, watch, report)
			if err != nil {
				return err
			}
			fmt.Print(result.TableRow())
			results = append(results, result)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// measureSimulated measures simulated clusters and prints their results.
func measureSimulated(cmd *cli.Command) (results []*experiment.MembershipResult, err error) {
	watch := min(millis(cmd.Duration("watch")), maxSimulatedWatch)
	for _, size := range cmd.IntSlice("simulated") {
		if size <= 0 {
			continue
		}
		for _, loss := range append([]float64{0}, cmd.FloatSlice("simulated-loss")...) {
			report(fmt.Sprintf("%d simulated, loss %.0f%%", size, 100*loss))
			result, err := experiment.MeasureSimulatedMembership(sim.Settings{
				Members: size, Seeds: seedCount, RandomSeed: cmd.Uint64("seed"), Loss: loss, Delay: simulatedDelay,
				ToleratedPause:   millis(cmd.Duration("bear-pause")),
				DetectionTimeout: millis(cmd.Duration("detect-within")),
				Codec:            membership.Codec{Cluster: "lab", Key: []byte(clusterKey)},
			}, cmd.Int("rounds"), watch)
			if err != nil {
				return nil, err
			}
			fmt.Print(result.TableRow())
			results = append(results, result)
		}
	}
	return results, nil
}

func millis(d time.Duration) experiment.Millis { return float64(d) / float64(time.Millisecond) }

// detectionSeries returns the series of the chart, in seconds.
func detectionSeries(results []*experiment.MembershipResult) []chart.Series {
	series := make([]chart.Series, 0, len(results))
	for _, result := range results {
		seconds := make([]float64, len(result.DetectionTimes))
		for i, ms := range result.DetectionTimes {
			seconds[i] = ms / 1000
		}
		name := fmt.Sprintf("%d %s, loss %.0f%%", result.Members, result.Kind, 100*detectionLoss(result))
		series = append(series, chart.Series{Name: name, Values: seconds})
	}
	return series
}

// detectionLoss returns the packet loss under which deaths were measured. Clusters of processes are measured without
// loss.
func detectionLoss(result *experiment.MembershipResult) float64 {
	if result.Kind == "processes" {
		return 0
	}
	return result.Loss
}
