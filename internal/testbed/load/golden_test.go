package load

import (
	"fmt"
	"testing"

	"ottershed/internal/golden"
)

var goldenLoadResult = Result{
	Requests: 1, Succeeded: 2, Rejected: 3, Failed: 4, Resumed: 5, ResumesRejected: 6, Lost: 7, Mismatched: 8,
}

// The result that `testbed fleet` prints, with each count set, equals the golden file.
func TestResultStringMatchesGoldenFile(t *testing.T) {
	got := fmt.Sprintf("hits: %+v\n", goldenLoadResult)
	if err := golden.CheckFile("testdata/load-result.golden", []byte(got)); err != nil {
		t.Errorf("text of the load result: %v", err)
	}
}
