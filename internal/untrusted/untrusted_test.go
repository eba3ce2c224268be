package untrusted_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/untrusted"
	"gotest.tools/v3/assert"
)

// TestCheckCountsNestingOutsideTexts checks the bounds on both sides.
func TestCheckCountsNestingOutsideTexts(t *testing.T) {
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for text, want := range map[string]error{
		"": nil, nested(64): nil, nested(65): untrusted.ErrTooDeep, strings.Repeat(`{"a":`, 65): untrusted.ErrTooDeep,
		"[" + strings.Repeat("[],", 500) + "0]": nil, `"` + strings.Repeat("[", 500) + `"`: nil,
		`"\"` + strings.Repeat("[", 500) + `"`: nil, `"\\"` + nested(65): untrusted.ErrTooDeep,
		strings.Repeat(" ", 2000): nil, strings.Repeat(" ", 2001): untrusted.ErrTooLong, strings.Repeat("]", 70) + nested(134): untrusted.ErrTooDeep,
	} {
		assert.Check(t, errors.Is(untrusted.Check([]byte(text), 2000), want), "%.20q", text)
	}
}

// TestOddRecordIsReportedOnce guards against a line of the log for each read of a record that stands there for hours.
func TestOddRecordIsReportedOnce(t *testing.T) {
	var reports untrusted.Reports
	now := time.Unix(1_800_000_000, 0)
	record := func(key string, revision uint64) error {
		return untrusted.NewRecordError(key, revision, errors.New(strings.Repeat("\xff", 5000)))
	}
	assert.Assert(t, len(record("a", 1).Error()) <= 2000)
	one := []error{record("a", 1), errors.New("no record")}
	assert.Equal(t, len(reports.New(one, now)), 2)
	assert.Equal(t, len(reports.New(one, now.Add(time.Hour))), 1)
	assert.Equal(t, len(reports.New([]error{record("a", 2)}, now.Add(time.Second))), 0, "rewritten at once")
	assert.Equal(t, len(reports.New([]error{record("a", 3)}, now.Add(time.Hour))), 1, "rewritten later")
	many := make([]error, 10_000)
	for i := range many {
		many[i] = record(fmt.Sprint(i), 1)
	}
	news := reports.New(many, now.Add(time.Hour))
	assert.Equal(t, len(news), 65)
	assert.ErrorContains(t, news[64], "more records")
	assert.Equal(t, len(reports.New(many, now.Add(time.Hour+time.Second))), 0)
}
