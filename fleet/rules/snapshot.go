package rules

import (
	"errors"
	"fmt"
	"slices"
)

// Snapshot returns the canonical encoding of the registry's state.
func (r *Registry) Snapshot() ([]byte, error) { return encoder.Marshal(r.state) }

// Restore returns the registry that a snapshot holds. It rejects encodings that are not canonical and states that no
// sequence of commands leads to.
func Restore(raw []byte) (*Registry, error) {
	r := &Registry{}
	if err := decodeCanonical("snapshot", MaxSnapshotBytes, raw, &r.state); err != nil {
		return nil, err
	}
	if err := r.checkInvariants(); err != nil {
		return nil, &CorruptError{"snapshot", err}
	}
	return r, nil
}

// checkInvariants returns an error if no sequence of commands could lead to the registry's state.
func (r *Registry) checkInvariants() error {
	s := &r.state
	if len(s.Versions) > maxKeptVersions+maxScheduledActivations+2 || len(s.Scheduled) > maxScheduledActivations || (s.Prepared && len(s.Scheduled) == 0) {
		return errors.New("more entries than a registry can have")
	}
	last := uint64(0)
	for i := range s.Versions {
		if err := r.checkVersion(&s.Versions[i], last); err != nil {
			return err
		}
		last = s.Versions[i].Number
	}
	if last != s.Newest || (s.Previous != 0 && s.Previous >= s.Active) {
		return fmt.Errorf("version %d is missing", s.Newest)
	}
	return r.checkInUse()
}

// checkVersion checks one version; last is the number of the version before it, 0 for the first.
func (r *Registry) checkVersion(v *Version, last uint64) error {
	s := &r.state
	scheduled := slices.Contains(s.Scheduled, v.Number)
	switch {
	case v.Number <= last || v.Number > s.Newest:
		return fmt.Errorf("version %d follows version %d, the newest is %d", v.Number, last, s.Newest)
	case len(v.Text) > MaxTextBytes || len(v.Author) > maxAuthorBytes || len(v.LastAuthor) > maxAuthorBytes,
		v.Status > Cancelled || v.Kind > Exclusive:
		return fmt.Errorf("version %d has a value out of range", v.Number)
	case v.Text != nil && DigestOf(v.Text) != v.Digest:
		return fmt.Errorf("version %d: its text does not match its digest", v.Number)
	case (v.Number == s.Active) != (v.Status == Active),
		scheduled != (v.Status == Scheduled || v.Status == Prepared),
		(s.Prepared && s.Scheduled[0] == v.Number) != (v.Status == Prepared):
		return fmt.Errorf("version %d has status %v, which the rest of the state contradicts", v.Number, v.Status)
	}
	return nil
}

// checkInUse checks that the active and the scheduled versions exist, have texts and are in order.
func (r *Registry) checkInUse() error {
	previous := uint64(0)
	for i, number := range append([]uint64{r.state.Active}, r.state.Scheduled...) {
		v := r.find(number)
		missing := number != 0 && (v == nil || v.Text == nil)
		disordered := i > 0 && (number == 0 || number <= r.state.Active || (i > 1 && number <= previous))
		if missing || disordered {
			return fmt.Errorf("version %d is in use but missing or out of order", number)
		}
		previous = number
	}
	return nil
}
