package main

import (
	"bytes"
	"strings"
	"testing"
)

const startLine = "born\t0\t7\tself-index=0\tn-instances=2\tzone=a\tgranularity-ms=5\tlimits.most-tries=3" +
	"\trules.cold-from=0.4\trules.warm-after-ms=4000\trules.overload-factor=2.5\trules.overload-for-ms=1000" +
	"\tdomain.caps=0.1,1\tdomain.waves=0.1,1\tdomain.uncounted=1\tdomain.guarded-stages=0\tservices.count=1" +
	"\tservices.0.name=read\tservices.0.aim-ms=400\tservices.0.give-up-ms=1000\tservices.0.idempotency=safe" +
	"\tsome.new-key=1\n"

const listLines = "sheet\t0\t1\nnode\t1\t-\ta\t7\tk\tup\t1\t10.0.0.1:80\nbackends_changed\t0\tremembered\t1\t0\n"

// A batch gets its reply. A malformed batch ends serve with an error that names the line, and without a reply.
func TestServeRepliesToBatches(t *testing.T) {
	request := "req\t0\t5\tread\t-\t-\t300.0\t-\t9\n"
	for _, test := range []struct{ name, in, out, err string }{
		{"empty batch", "sync\t1.5\ncommit\n", "end\n", ""},
		{
			"request, with unknown settings and option bits", "sync\t1.0\n" + startLine + listLines + request + "commit\n",
			"assign\t0\t5\t10.0.0.1:80", "",
		},
		{"event for a stopped instance", "sync\t1.0\n" + startLine + "down\t0\n" + request + "commit\n", "end\n", ""},
		{
			"missing setting", "sync\t1.0\n" + strings.Replace(startLine, "rules.cold-from=0.4\t", "", 1) + "commit\n",
			"fault\t0\tsettings.rules.cold-from: missing", "",
		},
		{
			"setting out of range", "sync\t1.0\n" + strings.Replace(startLine, "factor=2.5", "factor=NaN", 1) + "commit\n",
			"fault\t0\tsettings.rules.overload-factor", "",
		},
		{"unknown message", "sync\t1.0\nhello\t1\ncommit\n", "", `line 2: unknown message "hello"`},
		{"bad field count", "sync\t1.0\naborted\t1\ncommit\n", "", "line 2: aborted: 1 fields, want 2"},
		{"bad number", "sync\t1.0\naborted\t0\tx\ncommit\n", "", "line 2: aborted: field 2"},
		{"bad word", "sync\t1.0\nping_result\t0\tn\tmaybe\t1\t-\ncommit\n", "", "line 2: ping_result: field 3"},
		{"bad time", "sync\tnoon\n", "", `line 1: sync: "noon"`},
		{"commit without sync", "commit\n", "", `line 1: unexpected line "commit"`},
		{"input ends inside a batch", "sync\t1.0\n", "", "line 2: input ended"},
		{"incomplete line", "sync\t1.0\ncomm", "", "line 2: incomplete"},
		{"incomplete list", "sync\t1.0\nsheet\t0\t2\ncommit\n", "", "line 3: commit:"},
		{"bad list number", "sync\t1.0\nsheet\t16\t0\ncommit\n", "", "line 2: sheet: field 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			err := serve(strings.NewReader(test.in), &out)
			if test.err == "" && err != nil || test.err != "" && (err == nil || !strings.HasPrefix(err.Error(), test.err)) {
				t.Errorf("error: got %v, want %q", err, test.err)
			}
			if !strings.Contains(out.String(), test.out) || test.err != "" && out.Len() > 0 {
				t.Errorf("output: got %q, want %q", out.String(), test.out)
			}
		})
	}
}
