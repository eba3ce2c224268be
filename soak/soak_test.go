package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/cli"
	"github.com/lotuswing/lotuswing/soak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	if os.Getenv(binaryVariable) != "" {
		os.Exit(cli.Balancer(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// binaryVariable makes the test binary run a balancer instead of the tests.
const binaryVariable = "LOTUSWING_SOAK_BALANCER"

// present returns the command of a balancer of the present version.
func present(settings, _ string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "run", "--settings", settings)
	cmd.Env = append(os.Environ(), binaryVariable+"=1")
	return cmd
}

func soakOnce(t *testing.T, seed uint64, length time.Duration, command func(settings, log string) *exec.Cmd) soak.Result {
	t.Helper()
	result, err := soak.Run(context.Background(), soak.Config{
		Seed: seed, For: length, Balancers: 3, Callers: 4, Keep: t.TempDir(), Command: command,
	})
	assert.NilError(t, err)
	return result
}

// seeds are played in CI: two fresh ones of no history, and each seed that ever
// failed, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{20261202, "none: a first seed"},
	{7, "none: a second seed"},
}

// TestSoak plays a short soak for each seed.
func TestSoak(t *testing.T) {
	for _, s := range seeds {
		result := soakOnce(t, s.seed, 6*time.Second, present)
		assert.Assert(t, result.Statuses[http.StatusOK] > 0, "nothing was served: %v", result.Statuses)
		assert.Equal(t, len(result.Violations), 0, "seed %d (%s): %s", s.seed, s.cause, fmt.Sprint(result.Violations))
	}
}

// TestSoakThatCannotBegin ends with an error, and ends what it started.
func TestSoakThatCannotBegin(t *testing.T) {
	_, err := soak.Run(t.Context(), soak.Config{
		Seed: 1, For: time.Second, Balancers: 3, Keep: filepath.Join(t.TempDir(), "new"),
		Command: func(string, string) *exec.Cmd { return exec.Command("/does/not/exist") },
	})
	assert.ErrorContains(t, err, "soak: start vm-0")
}

// keepsPromises plays a soak in which a kind of fault strikes, and no promise may be broken.
func keepsPromises(t *testing.T, fault string, cfg soak.Config) {
	t.Helper()
	cfg.Command = present
	result, err := soak.Run(t.Context(), cfg)
	assert.NilError(t, err)
	assert.Assert(t, result.Faults[fault] > 0, "%v", result.Faults)
	assert.Assert(t, result.Statuses[http.StatusOK] > 0, "nothing was served: %v", result.Statuses)
	assert.Equal(t, len(result.Violations), 0, "%s", fmt.Sprint(result.Violations))
}

// TestSoakOfAllAtOnce plays a soak in which all balancers are lost at once, some of the
// time with the store away while they start again.
func TestSoakOfAllAtOnce(t *testing.T) {
	keepsPromises(t, "all are killed", soak.Config{Seed: 5, For: 8 * time.Second, Balancers: 6, Together: 2 * time.Second, Gap: time.Second})
}

// TestSoakOfHalfAtOnce plays a soak in which half of the balancers are lost at once. It guards against
// requests that run twice, or run although they were refused, while the rest has all the load.
func TestSoakOfHalfAtOnce(t *testing.T) {
	keepsPromises(t, "half are killed", soak.Config{Seed: 29, For: 8 * time.Second, Balancers: 6, Half: 2 * time.Second, Gap: time.Second})
}

// TestSoakWithTeams plays a soak in which teams send many times their quotas and lose keys.
func TestSoakWithTeams(t *testing.T) {
	keepsPromises(t, "team sends too much", soak.Config{Seed: 6, For: 12 * time.Second, Balancers: 4, Teams: time.Second, Gap: time.Second})
}

// olderVariable names a lotuswing binary of an earlier version; where it is not
// set, both versions of a fleet are the present one. .ci/older sets it.
const olderVariable = "LOTUSWING_OLDER_BINARY"

// TestSoakOfTwoVersions plays a soak in which each start of a balancer, the first
// one and those after a fault, is in turn of an earlier version and of the
// present one, so that each becomes the relay of the other.
func TestSoakOfTwoVersions(t *testing.T) {
	var starts atomic.Int64
	alternate := func(settings, log string) *exec.Cmd {
		if path := os.Getenv(olderVariable); path != "" && starts.Add(1)%2 == 1 {
			return exec.Command(path, "run", "--settings", settings)
		}
		return present(settings, log)
	}
	result := soakOnce(t, 3, 6*time.Second, alternate)
	assert.Assert(t, result.Statuses[http.StatusOK] > 0, "nothing was served: %v", result.Statuses)
	assert.Equal(t, len(result.Violations), 0, "%s", fmt.Sprint(result.Violations))
}

// TestSoakOfEmptiedZones plays a soak in which zones are emptied and come back cold.
func TestSoakOfEmptiedZones(t *testing.T) {
	keepsPromises(t, "zone emptied", soak.Config{Seed: 11, For: 9 * time.Second, Balancers: 4, Empty: time.Second, Gap: time.Second})
}

// TestSoakWithColdEndpoints plays a soak in which endpoints turn cold at any moment, under bursts of requests.
func TestSoakWithColdEndpoints(t *testing.T) {
	keepsPromises(t, "endpoints turn cold", soak.Config{Seed: 1, For: 14 * time.Second, Balancers: 6, Cold: time.Second, Gap: time.Second})
}

// TestSoakOfCrashingRequests plays a soak with requests that crash endpoints, entries of
// other writers and suspended VMs.
func TestSoakOfCrashingRequests(t *testing.T) {
	keepsPromises(t, "request crashes endpoints", soak.Config{Seed: 3, For: 14 * time.Second, Balancers: 4, Crash: 300 * time.Millisecond, Gap: 2 * time.Second})
}

// TestSoakOfLimits plays a soak in which endpoints name how many requests a second they take.
func TestSoakOfLimits(t *testing.T) {
	keepsPromises(t, "limit named", soak.Config{Seed: 17, For: 14 * time.Second, Balancers: 4, Limit: 500 * time.Millisecond, Gap: 3 * time.Second})
}

// TestSoakOfWords plays a soak in which endpoints say in their answers that they leave, or that they
// want no requests for a while.
func TestSoakOfWords(t *testing.T) {
	keepsPromises(t, "leaving said", soak.Config{Seed: 23, For: 14 * time.Second, Balancers: 4, Words: 700 * time.Millisecond, Gap: 3 * time.Second})
}

// TestSoakOfLostPaths plays a soak in which some balancers lose their paths to all endpoints.
func TestSoakOfLostPaths(t *testing.T) {
	keepsPromises(t, "paths lost", soak.Config{Seed: 31, For: 12 * time.Second, Balancers: 4, Partition: time.Second, Gap: 2 * time.Second})
}

// stopSeeds are played in CI: fresh ones of no history, and each seed that ever failed, with its cause.
var stopSeeds = []struct {
	seed  uint64
	cause string
}{
	{41, "none: a first seed"},
	{42, "none: a second seed"},
}

// TestSoakOfRestores plays a soak in which the store comes back from a copy, beside other faults.
func TestSoakOfRestores(t *testing.T) {
	keepsPromises(t, "store comes back from a copy", soak.Config{Seed: 31, For: 10 * time.Second, Balancers: 4, Restore: 1500 * time.Millisecond, Gap: time.Second})
}

// TestSoakOfStops plays soaks in which most balancers are stopped as planned in series, while callers
// keep their connections in use until they end.
func TestSoakOfStops(t *testing.T) {
	for _, s := range stopSeeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			t.Parallel()
			keepsPromises(t, "stops in series", soak.Config{Seed: s.seed, For: 7 * time.Second, Balancers: 4, Callers: 4, Stops: time.Second, Gap: 3 * time.Second})
		})
	}
}

// TestSoakOfOddAnswers plays a soak of invalid responses, load reports that cannot be true and unusable parts of
// the configuration. It guards against answers that reach callers, balancers that hang, and versions that do not come
// into force.
func TestSoakOfOddAnswers(t *testing.T) {
	result, err := soak.Run(t.Context(), soak.Config{Seed: 77, For: 8 * time.Second, Balancers: 4, Odd: 150 * time.Millisecond, Gap: time.Second, Command: present})
	assert.NilError(t, err)
	for _, kind := range []string{"odd answer", "odd load report", "odd part of a configuration"} {
		assert.Assert(t, result.Faults[kind] > 0, "%v", result.Faults)
	}
	assert.Equal(t, len(result.Violations), 0, "%s", fmt.Sprint(result.Violations))
	assert.Assert(t, result.Statuses[0] < result.Requests/5, "%d of %d requests got no answer", result.Statuses[0], result.Requests)
}
