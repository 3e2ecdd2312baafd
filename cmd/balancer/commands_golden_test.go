package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"ottershed/internal/admin"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/policysync"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/golden"
)

// Responses of a running instance's admin server, with every field set in one of their entries.
var (
	membersFixture = membersResponse{&membership.View{
		Self: "n0", At: 1.5, Health: 2, SupersededBy: "127.0.0.1:1", Rejected: 3,
		Members: []membership.Member{
			{Name: "n0", Address: "127.0.0.1:7946", State: membership.Alive, Incarnation: 5, Run: 1 << 63, StateSince: 6.5, Accuser: "n1"},
			{Name: "n1", Address: "127.0.0.2:7946", State: membership.Suspect},
			{Name: "n2", State: membership.Dead},
			{Name: "n3", State: membership.Left},
		},
	}, gossip.Counters{PacketsIn: 1, PacketsOut: 2, BytesIn: 3, BytesOut: 4, Rejected: 5, DroppedChanges: 6}}
	statusFixture = policysync.FleetStatus{StoredBytes: 4096, Log: &raftlog.Status{
		Role: "leader", Leader: "n0", Term: 2, CommitIndex: 3,
		AppliedIndex: 4, Voters: []string{"n0", "n1"},
	}, Members: []policysync.MemberStatus{
		{Name: "n0", Role: "leader", Version: 7, Checksum: "ab", TrialsAdmitted: true, Failure: "why", Unreachable: "", ReportedAt: 8.5},
		{Name: "n1", Role: "follower", Version: 6, Checksum: "cd"},
		{Name: "n2", Unreachable: "no answer"},
	}}
	historyFixture = []policysync.HistoryEntry{{Version: 7, ID: "id", Proposer: "n0", ProposedAt: 1.7e12, Checksum: "ab", Policy: json.RawMessage(`{"note":"why"}`)}}
	leasesFixture  = []failover.LeaseStatus{
		{
			Lease: "trial/n0", Holder: "n0", Incarnation: 1 << 63, Token: 9, RemainingMS: 1234, CheckpointAt: 5, CheckpointAge: 678, HolderState: membership.Suspect,
			Merged: []lease.Grant{{ID: "trial/n1", Token: 3}, {ID: "trial/n2", Token: 4}},
		},
		{Lease: "trial/n3", Holder: "n3", Expired: true},
		{Lease: "trial/n4", Holder: "n0", Token: 2, Expired: true, AbandonReason: "unreadable"},
	}
	proposeFixture = policysync.ProposeResult{ID: "id", Version: 8, Duplicate: true}
)

// commandLine is a run of the program with args. ADDRESS in args stands for the address of the admin server.
type commandLine struct{ title, args string }

var commandLines = []commandLine{
	{"members", "members --at ADDRESS"},
	{"policy status", "policy status --at ADDRESS"},
	{"policy status, JSON", "policy status --at ADDRESS --json"},
	{"policy history", "policy history --at ADDRESS"},
	{"policy history, JSON", "policy history --at ADDRESS --json"},
	{"policy check", "policy check policy.json"},
	{"policy check, unknown key", "policy check unknown.json"},
	{"policy check, string for a number", "policy check text.json"},
	{"policy check, share out of range", "policy check share.json"},
	{"policy check, note missing", "policy check note.json"},
	{"policy check, settings not an object", "policy check settings.json"},
	{"policy check, incomplete file", "policy check short.json"},
	{"policy check, data after the end", "policy check more.json"},
	{"policy check, file missing", "policy check none.json"},
	{"policy propose", "policy propose --at ADDRESS --id id --base 7 policy.json"},
	{"policy propose, rejected", "policy propose --at ADDRESS refused.json"},
	{"work status", "work status --at ADDRESS"},
	{"work status, JSON", "work status --at ADDRESS --json"},
	{"work take", "work take --at ADDRESS trial/n3"},
	{"work take, rejected", "work take --at ADDRESS trial/none"},
	{"unknown command", "what"},
	{"unknown command of work", "work what"},
	{"too many arguments", "serve what"},
	{"argument missing", "work take --at ADDRESS"},
	{"unknown flag", "serve --what"},
	{"address missing", "members"},
	{"unknown log level", "serve --log-level odd"},
	{"summary interval too short", "serve --summary 1ms"},
	{"check-config, file missing", "check-config --config none.json"},
	{"check-config", "check-config"},
	{"serve, file missing", "serve --config none.json"},
}

// The output and errors of each command match the golden file. The address of the admin server differs between
// runs, so the file has ADDRESS in its place.
func TestGoldenCommands(t *testing.T) {
	var observed string
	t.Run("run", func(t *testing.T) {
		t.Chdir(t.TempDir())
		for name, text := range map[string]string{
			"policy":  `{"note":"why", "halt":true,"trial-share":0.5,"settings":{"zone":"a"}}`,
			"unknown": `{"note":"why","what":1}`, "text": `{"note":"why","trial-share":"half"}`, "share": `{"note":"why","trial-share":2}`,
			"note": `{}`, "settings": `{"note":"why","settings":[]}`, "short": "{\n\"note\":", "more": `{"note":"why"}{}`,
			"refused": `{"note":"refuse this"}`,
		} {
			if err := os.WriteFile(name+".json", []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		address := startAdminStub(t)
		for _, line := range commandLines {
			observed += golden.Section(line.title, runCommand(t.Context(), address, strings.Fields(line.args)))
		}
	})
	if err := golden.CheckFile(filepath.Join("testdata", "commands.golden"), []byte(observed)); err != nil {
		t.Error(err)
	}
}

// startAdminStub starts an admin server that responds like a running instance. It rejects proposals that contain "refuse",
// and fails the test if another proposal is not the expected one.
func startAdminStub(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.New()
	server.Get("/members", func() any { return membersFixture })
	server.Get("/policy/status", func() any { return statusFixture })
	server.Get("/policy/history", func() any { return historyFixture })
	server.Post("/policy/propose", func(_ context.Context, body []byte) (any, error) {
		if bytes.Contains(body, []byte("refuse")) {
			return nil, errors.New("refused: " + string(body))
		}
		const want = `{"policy":{"note":"why","halt":true,"trial-share":0.5,"settings":{"zone":"a"}},"id":"id","base":7}`
		if string(body) != want {
			t.Errorf("got proposal %s, want %s", body, want)
		}
		return proposeFixture, nil
	})
	server.Post("/work", func(context.Context, []byte) (any, error) { return leasesFixture, nil })
	server.Post("/work/take", func(_ context.Context, body []byte) (any, error) {
		if string(body) != "trial/n3" {
			return nil, errors.New("no such piece: " + string(body))
		}
		return struct{}{}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("admin server ended with error %v, want none", err)
		}
	})
	return listener.Addr().String()
}

// runCommand runs the program with args. It returns standard output, followed by standard error and the returned error, each
// under a heading.
func runCommand(ctx context.Context, address string, args []string) string {
	var stdout, stderr bytes.Buffer
	root := command()
	root.Writer, root.ErrWriter = &stdout, &stderr
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "ADDRESS", address)
	}
	err := root.Run(ctx, append([]string{"ottershed"}, args...))
	text := stdout.String()
	if stderr.Len() > 0 {
		text += "-- standard error\n" + stderr.String()
	}
	if err != nil {
		text += "-- error\n" + err.Error() + "\n"
		if errors.Is(err, errUsage) {
			text += "-- usage error\n"
		}
	}
	return strings.ReplaceAll(text, address, "ADDRESS")
}

// The commands, their flags and the environment variables of the flags match the golden file.
func TestGoldenFlags(t *testing.T) {
	observed := strings.Join(listFlags("", command()), "\n") + "\n" + golden.Section("testbed", clock.TestbedEnv+"\n")
	if err := golden.CheckFile(filepath.Join("testdata", "flags.golden"), []byte(observed)); err != nil {
		t.Error(err)
	}
}

// listFlags lists a command and its flags, and likewise all commands below it. parent is the command's path.
func listFlags(parent string, c *cli.Command) []string {
	name := strings.TrimSpace(parent + " " + c.Name)
	lines := []string{strings.TrimSpace(name + " " + c.ArgsUsage)}
	for _, f := range c.Flags {
		line := name + " --" + strings.Join(f.Names(), " -")
		if d, ok := f.(cli.DocGenerationFlag); ok {
			variables := slices.Sorted(slices.Values(d.GetEnvVars()))
			line += " (" + d.TypeName() + ") default " + d.GetDefaultText() + " $" + strings.Join(variables, " $") + ": " + d.GetUsage()
		}
		lines = append(lines, line)
	}
	for _, sub := range c.Commands {
		lines = append(lines, listFlags(name, sub)...)
	}
	return lines
}
