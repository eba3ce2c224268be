package decimal_test

import (
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/coord/decimal"
	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "12": 12, "2.5": 2.5, ".5": 0.5, "5.": 5, "007": 7} {
		n, ok := decimal.Parse(text)
		assert.Assert(t, ok, text)
		assert.Equal(t, n, want, text)
	}
	for _, text := range []string{"", ".", "1.2.3", "-1", "+1", " 1", "1 ", "1e9", "0x1", "1_000", "NaN", "Inf", "1,5", strings.Repeat("1", 65)} {
		_, ok := decimal.Parse(text)
		assert.Assert(t, !ok, text)
	}
}
