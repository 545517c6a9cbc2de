package scale

import (
	"fmt"
	"math"
	"slices"
)

// check names the first name that is used twice or not known.
func check(sweeps []Sweep, events []Event, only []string) error {
	var names []string
	costs := make(map[string]string)
	add := func(name string, all []Cost) error {
		if slices.Contains(names, name) {
			return &ReadingsError{Name: name, Text: "two sweeps or events have this name"}
		}
		names = append(names, name)
		for _, c := range all {
			if by, ok := costs[c.Name]; ok {
				return &ReadingsError{Name: name, Text: fmt.Sprintf("%s is a cost of %s too", c.Name, by)}
			}
			costs[c.Name] = name
		}
		return nil
	}
	for i := range sweeps {
		if err := add(sweeps[i].Name, sweeps[i].Costs); err != nil {
			return err
		}
	}
	for i := range events {
		if err := add(events[i].Name, events[i].Costs); err != nil {
			return err
		}
	}
	for _, name := range only {
		if !slices.Contains(names, name) {
			return &UnknownError{Name: name, Known: names}
		}
	}
	return nil
}

// complete names the first declared cost without a reading, or reading that is not declared or is no
// figure.
func complete(name string, costs []Cost, readings []Reading) error {
	left := make(map[string]bool)
	for _, c := range costs {
		left[c.Name] = true
	}
	for _, r := range readings {
		if !left[r.Cost] {
			return &ReadingsError{Name: name, Text: fmt.Sprintf("%s is not declared, or there twice", r.Cost)}
		}
		if math.IsNaN(r.Value) || math.IsInf(r.Value, 0) {
			return &ReadingsError{Name: name, Text: fmt.Sprintf("%s is %g", r.Cost, r.Value)}
		}
		delete(left, r.Cost)
	}
	for _, c := range costs {
		if left[c.Name] {
			return &ReadingsError{Name: name, Text: c.Name + " has none"}
		}
	}
	return nil
}
