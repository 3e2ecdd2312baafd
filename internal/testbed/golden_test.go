package testbed

import (
	"fmt"
	"testing"

	"ottershed/internal/golden"
)

var goldenLoadResult = LoadResult{Hits: 1, Delivered: 2, Bounced: 3, Errored: 4, Resumed: 5, Refused: 6, Lost: 7, Wrong: 8}

// What otterlab prints of a load, each figure set, is that of the golden file.
func TestGoldenLoadResult(t *testing.T) {
	observed := fmt.Sprintf("hits: %+v\n", goldenLoadResult)
	if err := golden.Check("testdata/load-result.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
