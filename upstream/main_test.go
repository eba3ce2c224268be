package upstream_test

import (
	"testing"

	"github.com/lotuswing/lotuswing/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }
