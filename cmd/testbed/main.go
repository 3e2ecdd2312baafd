// Command otterlab runs experiments on fleets of real marshal processes on loopback, and on their decisions alone in
// simulated time. It prints tables in Markdown and draws charts; docs/measured.md keeps what it found.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/membership/sim"
	"ottershed/internal/testbed/chart"
	"ottershed/internal/testbed/experiment"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/load"
	"ottershed/internal/testbed/platform"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name: "otterlab", Usage: "experiments on fleets of marshals on loopback", HideHelpCommand: true,
		Commands: []*cli.Command{membersCommand(), policyCommand(), takeoverCommand(), fleetCommand(), daysCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "otterlab:", err)
		os.Exit(1)
	}
}

func membersCommand() *cli.Command {
	return &cli.Command{
		Name: "members", Usage: "how soon deaths are found, how often falsely, and what that costs",
		Flags: append(shared(),
			&cli.IntSliceFlag{Name: "processes", Usage: "fleets of so many real processes; 0: none", Value: []int{5, 20, 50}},
			&cli.IntSliceFlag{Name: "simulated", Usage: "fleets of so many detectors in simulated time; 0: none", Value: []int{1000, 10000}},
			&cli.IntFlag{Name: "rounds", Usage: "kills in each fleet", Value: 5},
			&cli.FloatSliceFlag{Name: "simulated-loss", Usage: "the same in simulated time, beside none; deaths are measured under it", Value: []float64{0.05, 0.2}},
			&cli.FloatFlag{Name: "loss", Usage: "share of packets lost while false deaths are counted", Value: 0.2},
			&cli.DurationFlag{Name: "watch", Usage: "how long that is", Value: time.Minute}), Action: members,
	}
}

func members(ctx context.Context, cmd *cli.Command) error {
	var results []*experiment.MembersResult
	fmt.Print(experiment.MembersHead())
	none := func(n int) bool { return n <= 0 }
	for _, n := range slices.DeleteFunc(cmd.IntSlice("processes"), none) {
		r, err := processes(ctx, cmd, n)
		if err != nil {
			return err
		}
		fmt.Print(r.Row())
		results = append(results, r)
	}
	for _, n := range slices.DeleteFunc(cmd.IntSlice("simulated"), none) {
		for _, loss := range append([]float64{0}, cmd.FloatSlice("simulated-loss")...) {
			r, err := experiment.MeasureSimulated(sim.Settings{
				Members: n, Seeds: 3, Seed: cmd.Uint64("seed"), Loss: loss, Delay: 2,
				ToleratedPause: millis(cmd.Duration("bear-pause")), DetectionTimeout: millis(cmd.Duration("detect-within")),
				Codec: membership.Codec{Cluster: "lab", Key: []byte("a key of sixteen bytes")},
			}, cmd.Int("rounds"),
				min(millis(cmd.Duration("watch")), 10000))
			if err != nil {
				return err
			}
			fmt.Print(r.Row()) // as they come: the large ones take long
			results = append(results, r)
		}
	}
	if path := cmd.String("chart"); path != "" {
		var lines []chart.Line
		for _, r := range results {
			seconds := make([]float64, len(r.Each))
			for i, ms := range r.Each {
				seconds[i] = ms / 1000
			}
			lines = append(lines, chart.Line{Name: fmt.Sprintf("%d %s, loss %.0f%%", r.Members, r.Kind, 100*lossOfDeaths(r)), Figures: seconds})
		}
		return chart.Distribution(path, "from a kill until another declares it dead", "seconds", lines)
	}
	return nil
}

// lossOfDeaths is the loss under which deaths were measured: among processes there was none meanwhile.
func lossOfDeaths(r *experiment.MembersResult) float64 {
	if r.Kind == "processes" {
		return 0
	}
	return r.Loss
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fleet makes the settings of a fleet of processes; end gives back what it took.
func fleetSettings(cmd *cli.Command, n int) (set fleet.Settings, end func(), err error) {
	dir, err := os.MkdirTemp("", "otterlab-")
	if err != nil {
		return set, nil, err
	}
	platform, err := platform.New(3)
	if err != nil {
		os.RemoveAll(dir)
		return set, nil, err
	}
	end = func() {
		platform.Close()
		os.RemoveAll(dir)
	}
	program, err := filepath.Abs(cmd.String("program"))
	if err != nil {
		end()
		return set, nil, err
	}
	return fleet.Settings{
		Dir: dir, Program: program, Instances: n, Seed: cmd.Uint64("seed"), Platform: platform,
		ToleratedPause: cmd.Duration("bear-pause"), DetectionTimeout: cmd.Duration("detect-within"), Seeds: 3,
		ElectionTimeout: cmd.Duration("elect-within"), Key: "a key of sixteen bytes",
	}, end, nil
}

func processes(ctx context.Context, cmd *cli.Command, n int) (*experiment.MembersResult, error) {
	set, end, err := fleetSettings(cmd, n)
	if err != nil {
		return nil, err
	}
	defer end()
	return experiment.MeasureProcesses(ctx, set, cmd.Int("rounds"), cmd.Float("loss"), cmd.Duration("watch"), nil)
}

func policyCommand() *cli.Command {
	return &cli.Command{
		Name: "policy", Usage: "how soon a policy holds everywhere, what it takes to keep, how soon a marshal is back",
		Flags: append(shared(), &cli.IntSliceFlag{Name: "processes", Usage: "fleets of so many real processes", Value: []int{3, 5, 7}},
			&cli.IntFlag{Name: "versions", Usage: "proposals, one after another", Value: 100},
			&cli.IntFlag{Name: "rounds", Usage: "restarts, and as many leaders killed", Value: 10}), Action: policy,
	}
}

func policy(ctx context.Context, cmd *cli.Command) error {
	var results []*experiment.PolicyResult
	var lines []chart.Line
	for _, n := range cmd.IntSlice("processes") {
		set, end, err := fleetSettings(cmd, n)
		if err != nil {
			return err
		}
		r, err := experiment.MeasurePolicy(ctx, set, cmd.Int("versions"), cmd.Int("rounds"), nil)
		end()
		if err != nil {
			return err
		}
		results = append(results, r)
		lines = append(lines, chart.Line{Name: fmt.Sprintf("%d marshals", n), Figures: r.Each})
	}
	fmt.Print(experiment.PolicyTable(results))
	if path := cmd.String("chart"); path != "" {
		return chart.Distribution(path, "from a proposal until all marshals run it", "milliseconds", lines)
	}
	return nil
}

func takeoverCommand() *cli.Command {
	return &cli.Command{
		Name: "takeover", Usage: "how soon work goes on elsewhere, and what 100 kills do to hits",
		Flags: append(shared(), &cli.IntFlag{Name: "marshals", Value: 5},
			&cli.DurationFlag{Name: "lease", Usage: "of a marshal's work", Value: 5 * time.Second},
			&cli.IntFlag{Name: "rounds", Usage: "owners killed, one after another", Value: 10},
			&cli.IntFlag{Name: "kills", Usage: "at random, under load", Value: 100}), Action: takeover,
	}
}

func takeover(ctx context.Context, cmd *cli.Command) error {
	set, end, err := fleetSettings(cmd, cmd.Int("marshals"))
	if err != nil {
		return err
	}
	defer end()
	set.LeaseTTL = cmd.Duration("lease")
	r, err := experiment.MeasureTakeover(ctx, set, cmd.Int("rounds"), cmd.Int("kills"), nil)
	if err != nil {
		return err
	}
	fmt.Print(experiment.TakeoverTable([]*experiment.TakeoverResult{r}))
	if path := cmd.String("chart"); path != "" {
		return chart.Distribution(path, "from an owner's death until another goes on", "milliseconds",
			[]chart.Line{{Name: fmt.Sprintf("lease %v, detect-within %v", set.LeaseTTL, set.DetectionTimeout), Figures: r.Each}})
	}
	return nil
}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a fleet with all that marshals can share, until interrupted or its script ends",
		Flags: append(shared(), &cli.IntFlag{Name: "marshals", Value: 5},
			&cli.IntFlag{Name: "servers", Usage: "of the policy's log", Value: 3},
			&cli.DurationFlag{Name: "lease", Usage: "of a marshal's work", Value: 5 * time.Second},
			&cli.StringFlag{Name: "script", Usage: "faults to play, a step a line, from `FILE`"},
			&cli.IntFlag{Name: "clients", Usage: "clients that send hits meanwhile"}), Action: runFleet,
	}
}

func runFleet(ctx context.Context, cmd *cli.Command) error {
	var script faultinject.Script
	if path := cmd.String("script"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if script, err = faultinject.ParseScript(string(text)); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	set, end, err := fleetSettings(cmd, cmd.Int("marshals"))
	if err != nil {
		return err
	}
	defer end()
	set.LeaseTTL, set.Servers = cmd.Duration("lease"), min(cmd.Int("servers"), cmd.Int("marshals"))
	set.Platform.SetBuild(set.Platform.Endpoints()[0], 2)
	set.Platform.Controller().SetStage(platform.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	f, err := fleet.Start(set)
	if err != nil {
		return err
	}
	defer f.Close()
	for i, name := range f.Names() {
		fmt.Printf("%s  hits %s  admin %s  log %s\n", name, f.Listen(i), f.Admin(i), f.File(i, "log"))
	}
	fmt.Printf("build 2 is on trial at one node of three; try: bin/balancer members --at %s\n", f.Admin(0))
	load := load.New(f, cmd.Int("clients"), cmd.Uint64("seed"))
	load.Start(ctx)
	if len(script) > 0 {
		scene := f.FaultEnvironment()
		scene.OnStep = func(s faultinject.Step) { fmt.Println(s) }
		err = scene.Play(ctx, script)
	} else {
		<-ctx.Done()
	}
	if cmd.Int("clients") > 0 {
		fmt.Printf("hits: %+v\n", load.Stop())
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shared are the flags of all experiments on processes.
func shared() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "program", Usage: "`PATH` of ottershed", Value: "bin/balancer"},
		&cli.DurationFlag{Name: "bear-pause", Value: 4 * time.Second},
		&cli.DurationFlag{Name: "detect-within", Value: 12 * time.Second},
		&cli.DurationFlag{Name: "elect-within", Value: time.Second},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.StringFlag{Name: "chart", Usage: "draw the times to `FILE`, .svg or .png"},
	}
}
