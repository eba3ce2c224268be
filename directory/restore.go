package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
)

// After the store was restored from a copy, it lists what it held some seconds before. The operator and the
// endpoints write again what they had written since, but until then the copy may be older than what this
// process knows. Revisions of different eras tell only some of the cases apart: what the copy has of a key is
// not newer than what is known if its revision is not higher than that of the last value known. For
// restoreHold, what is known therefore counts in these cases:
//
//   - An endpoint without an entry stays in use if the copy may be older than the entry that is known. One whose
//     entry had been deleted is not used again because the copy still has that entry.
//   - An evacuation goes on without an order, and one that had ended does not begin again with the order that
//     is known.
//   - A rollout goes on from the state that is known.
//
// After that, the store's content counts. The version of the configuration never decreases, and a leaving
// endpoint stays leaving, at any time.

// restoreHold is how long what is known counts. Endpoints that live have written their entries again within
// two seconds of the store's return.
const restoreHold = 3 * time.Second

// heldRead is the latest full read of a restored store; what differs from what is known is applied later.
type heldRead struct {
	read  Changes
	until time.Time // when it is applied
}

// hold keeps a full read of a restored store until the hold ends, and returns the part that is applied at
// once. A further full read during a hold replaces the kept one; d.mu is held.
func (d *Directory) hold(c Changes, now time.Time) Changes {
	if d.held == nil || position.Restored(d.held.read.Revision, c.Revision) {
		d.held = &heldRead{until: now.Add(restoreHold)}
	}
	d.held.read = c
	news := c
	news.Complete, news.Entries, news.Gone, news.Evacuations, news.Rollouts, news.Registrations = false, nil, nil, nil, nil, nil
	for _, entry := range c.Entries {
		if e, known := d.endpoints[entry.Endpoint.VM]; !known || !e.isBroughtBackBy(entry) {
			news.Entries = append(news.Entries, entry)
		}
	}
	news.Gone = d.removedSinceCopy(c)
	for _, e := range c.Evacuations {
		if old, known := d.zones[e.Zone]; !known || !old.Ended || position.Revision(e.Revision) > position.Revision(old.Began) {
			news.Evacuations = append(news.Evacuations, e)
		}
	}
	for _, o := range c.Rollouts {
		if _, known := d.rollouts[o.Service]; !known {
			news.Rollouts = append(news.Rollouts, o)
		}
	}
	return news
}

// isBroughtBackBy reports whether an entry in a copy would bring an endpoint back that had gone.
func (e Endpoint) isBroughtBackBy(entry Entry) bool {
	return e.State == Missing && !entry.Leaving && !e.isNewStart(entry) && position.Revision(entry.Revision) <= position.Revision(e.EntryRevision)
}

// removedSinceCopy returns the endpoints whose entries were deleted after the restore: the full read lacks them,
// but the copy had them, because it has another entry of the same or a higher revision that is known. d.mu is held.
func (d *Directory) removedSinceCopy(c Changes) (removed []RemovedEntry) {
	named := make(map[string]bool, len(c.Entries))
	reach := uint64(0)
	for _, entry := range c.Entries {
		named[entry.Endpoint.VM] = true
		if e, known := d.endpoints[entry.Endpoint.VM]; known && position.Revision(e.EntryRevision) == position.Revision(entry.Revision) {
			reach = max(reach, position.Revision(entry.Revision))
		}
	}
	for id, e := range d.endpoints {
		if !named[id] && position.Revision(e.EntryRevision) <= reach {
			removed = append(removed, RemovedEntry{ID: id, Revision: c.Revision})
		}
	}
	return removed
}

// isHeld reports whether changes are a full read that must be held: the first one of a new era, or one that
// comes during a hold; d.mu is held.
func (d *Directory) isHeld(c Changes) bool {
	return c.Complete && d.revision > 0 && (d.held != nil || position.Restored(d.revision, c.Revision))
}

// EndHold applies what was held of the latest full read of a restored store, if the hold has ended.
func (d *Directory) EndHold(now time.Time) Applied {
	d.mu.Lock()
	defer d.mu.Unlock()
	var applied Applied
	if d.held == nil || now.Before(d.held.until) {
		return applied
	}
	c := d.held.read
	d.held = nil
	d.apply(c, now, &applied)
	return applied
}

// Holding reports whether the store was restored a moment ago, so that what is known counts.
func (d *Directory) Holding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held != nil
}
