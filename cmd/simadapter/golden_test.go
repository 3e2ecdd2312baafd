package main

import (
	"bytes"
	"strings"
	"testing"

	"ottershed/internal/golden"
)

// goldenBatches starts two instances, sends each an endpoint list and requests, and continues with outcomes, a stage
// update, an instance with missing settings and the stop of an instance.
var goldenBatches = strings.Join([]string{
	"sync\t1\ncommit\n",
	"sync\t10\n" + startLine + strings.Replace(startLine, "born\t0\t7\tself-index=0", "born\t1\t8\tself-index=1", 1) +
		listLines + "backends_changed\t1\tall\t1\t0\ncommit\n",
	"sync\t20.5\nreq\t0\t5\tread\t-\t-\t300\t-\t0\nreq\t1\t6\tread\tt\tk\t300.0\t12.0\t3\ncommit\n",
	"sync\t31\nverdict\t0\t5\tcompleted\t10.0.0.1:80\t1\t10.5\t0\tcpu:0.5,waiting:0\n" +
		"verdict\t1\t6\terrored\t10.0.0.1:80\t1\t10.5\t0\t-\ncommit\n",
	"sync\t40\nstage\t0\t0\t8\t0\t0\t0.1\t0\tcompleted\nreq\t0\t9\tread\t-\t-\t300\t-\t0\naborted\t0\t9\ncommit\n",
	"sync\t50\nborn\t2\t7\tself-index=0\ndown\t1\nreq\t1\t8\tread\t-\t-\t300\t-\t0\ncommit\n",
}, "")

// Identical events lead to identical actions, so the replies are compared with the golden file byte for byte.
func TestGoldenReplies(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader(goldenBatches), &out); err != nil {
		t.Fatalf("serve the batches: %v", err)
	}
	if err := golden.CheckFile("testdata/replies.golden", []byte(golden.Quote(out.Bytes()))); err != nil {
		t.Errorf("replies to the batches: %v", err)
	}
}
