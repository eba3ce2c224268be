package relay

import (
	"testing"

	"github.com/lotuswing/lotuswing/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }
