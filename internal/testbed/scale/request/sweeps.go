package request

import "sloestile/internal/testbed/scale"

// Sweeps are the sweeps of the request path.
func Sweeps() []scale.Sweep {
	return []scale.Sweep{serverSet(), rates(), groups(), zones(), tenants(), changeRates(), ruleSets(), listBytes(), restarts()}
}
