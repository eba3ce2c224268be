package cli

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/internal/dial"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/upstream"
)

const (
	// partitionPoll is the time between two looks at the file that names how paths are lost.
	partitionPoll = 20 * time.Millisecond
	// partitionDialTimeout limits the time to open a connection to an endpoint.
	partitionDialTimeout = 300 * time.Millisecond
)

// dialPartitionedBy returns what opens connections to endpoints whose paths are lost as a file says.
// While the file is not there, or cannot be read, all paths work.
func dialPartitionedBy(file string, log hclog.Logger) upstream.DialFunc {
	network := &partition.Network{}
	go func() {
		for current := partition.Open; ; time.Sleep(partitionPoll) {
			mode, err := readMode(file)
			if err != nil {
				log.Error("state of simulated paths not read", "error", err)
			}
			if mode != current {
				current = mode
				network.Set(mode)
			}
		}
	}()
	return network.Wrap(dial.Dialer(partitionDialTimeout).DialContext)
}

// readMode returns the mode that a file names; Open if there is no file.
func readMode(file string) (partition.Mode, error) {
	raw, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return partition.Open, nil
	}
	if err != nil {
		return partition.Open, err
	}
	return partition.ParseMode(strings.TrimSpace(string(raw)))
}
