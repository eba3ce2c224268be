package control

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/detour"
	"gotest.tools/v3/assert"
)

// TestPathsAreShown guards against a balancer whose paths are lost and one that reaches nothing looking
// like a healthy one.
func TestPathsAreShown(t *testing.T) {
	st := detour.Status{Carriers: 4, MaxCarried: 256}
	assert.Equal(t, pathSummary(st), "paths direct, 0 detoured, 4 carriers known, carrying 0 of 256")
	st.Detoured = []detour.PathStatus{{Addr: "10.0.0.1:80", Service: "s", Since: 1500400 * time.Microsecond, Confirmed: true}}
	st.Carried = 3
	assert.Equal(t, pathSummary(st), "paths partly lost, 1 detoured, 4 carriers known, carrying 3 of 256")
	st.Lost, st.NoneReached = true, []string{"s", "t"}
	assert.Equal(t, pathSummary(st), "paths lost, 1 detoured, 4 carriers known, carrying 3 of 256, no endpoint reached of s t")
	_, rows := pathRows(st)
	assert.DeepEqual(t, rows, [][]string{{"10.0.0.1:80", "s", "1.5s", "true", "false"}})
}
