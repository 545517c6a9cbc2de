package rules

import (
	"errors"
	"fmt"
	"slices"
)

// Snapshot returns the registry's bytes, in canonical form.
func (r *Registry) Snapshot() ([]byte, error) { return encoder.Marshal(r.state) }

// Restore reads a registry's snapshot.
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

// checkInvariants reports whether a registry is one that commands can lead to.
func (r *Registry) checkInvariants() error {
	s := &r.state
	if len(s.Versions) > maxKeptVersions+maxScheduledActivations+2 || len(s.Scheduled) > maxScheduledActivations || (s.Prepared && len(s.Scheduled) == 0) {
		return errors.New("more entries than a registry has")
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

// checkVersion checks a version that follows another number.
func (r *Registry) checkVersion(v *Version, last uint64) error {
	s := &r.state
	scheduled := slices.Contains(s.Scheduled, v.Number)
	switch {
	case v.Number <= last || v.Number > s.Newest:
		return fmt.Errorf("version %d after %d of %d", v.Number, last, s.Newest)
	case len(v.Text) > MaxTextBytes || len(v.Author) > maxAuthorBytes || len(v.LastAuthor) > maxAuthorBytes,
		v.Status > Cancelled || v.Kind > Exclusive:
		return fmt.Errorf("version %d is out of range", v.Number)
	case v.Text != nil && DigestOf(v.Text) != v.Digest:
		return fmt.Errorf("version %d: its text does not match its digest", v.Number)
	case (v.Number == s.Active) != (v.Status == Active),
		scheduled != (v.Status == Scheduled || v.Status == Prepared),
		(s.Prepared && s.Scheduled[0] == v.Number) != (v.Status == Prepared):
		return fmt.Errorf("version %d has status %v and is not", v.Number, v.Status)
	}
	return nil
}

// checkInUse checks that the active and the scheduled versions are there, with texts and in order.
func (r *Registry) checkInUse() error {
	previous := uint64(0)
	for i, number := range append([]uint64{r.state.Active}, r.state.Scheduled...) {
		v := r.find(number)
		missing := number != 0 && (v == nil || v.Text == nil)
		disordered := i > 0 && (number == 0 || number <= r.state.Active || (i > 1 && number <= previous))
		if missing || disordered {
			return fmt.Errorf("version %d is in use and missing or out of order", number)
		}
		previous = number
	}
	return nil
}
