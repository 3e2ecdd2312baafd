package load

import (
	"fmt"
	"testing"

	"ottershed/internal/golden"
)

var goldenLoadResult = Result{
	Requests: 1, Succeeded: 2, Rejected: 3, Failed: 4, Resumed: 5, ResumesRejected: 6, Lost: 7, Wrong: 8,
}

// What `testbed fleet` prints of a load, with each figure set, is that of the golden file.
func TestGoldenLoadResult(t *testing.T) {
	observed := fmt.Sprintf("hits: %+v\n", goldenLoadResult)
	if err := golden.Check("testdata/load-result.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
