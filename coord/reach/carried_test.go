package reach_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"gotest.tools/v3/assert"
)

// TestCarriedInStop: what a planned stop does with a carried connection, by what is known of it.
func TestCarriedInStop(t *testing.T) {
	for name, c := range map[string]struct {
		carried reach.Carried
		quiet   time.Duration
		want    reach.CarriedAction
	}{
		"not told":                     {reach.Carried{Understands: true}, 0, reach.Tell},
		"not told, quiet":              {reach.Carried{Understands: true, Answered: true}, time.Hour, reach.Tell},
		"told":                         {reach.Carried{Understands: true, Told: true}, 0, reach.Wait},
		"told, pause in a response":    {reach.Carried{Understands: true, Told: true, Answered: true}, time.Hour, reach.Wait},
		"told, over":                   {reach.Carried{Understands: true, Told: true, Over: true}, 0, reach.Cut},
		"told, over, pause":            {reach.Carried{Understands: true, Told: true, Answered: true, Over: true}, time.Hour, reach.Cut},
		"not told, over":               {reach.Carried{Understands: true, Over: true}, 0, reach.Cut},
		"earlier version, in use":      {reach.Carried{Answered: true}, 299 * time.Millisecond, reach.Wait},
		"earlier version, quiet":       {reach.Carried{Answered: true}, 300 * time.Millisecond, reach.Close},
		"earlier version, outstanding": {reach.Carried{}, time.Hour, reach.Wait},
		"earlier version, quiet, over": {reach.Carried{Answered: true, Over: true}, 300 * time.Millisecond, reach.Close},
		"earlier version, over":        {reach.Carried{Answered: true, Over: true}, 299 * time.Millisecond, reach.Cut},
	} {
		c.carried.LastByte = start
		assert.Equal(t, c.carried.InStop(start.Add(c.quiet)), c.want, name)
	}
}
