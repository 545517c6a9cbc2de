package outage

import (
	"context"
	"time"

	"sloestile/internal/testbed/scale"
)

const regionCutName = "region-cut"

// The course of a region's cut, and what is published meanwhile on the side of the leader.
const (
	cutAt     = 12 * time.Second
	cutFor    = 5 * time.Minute
	cutFirst  = 30 * time.Second  // a publication, from the cut on
	cutSecond = 200 * time.Second // and another one
	cutAfter  = 60 * time.Second  // simulated after the heal
	cutSettle = 10 * time.Second  // from a publication until versions acted by are counted
	cutRegion = 4                 // of the leader is 0
	// currentWithin bounds the time from the heal until all act by the newest version: a node rejoins
	// within rejoinMost, and has a version in force in inForceWithin.
	currentWithin = 14.7 + inForceWithin
	// aloneWithin bounds the time from the cut until no node acts by a lease: 4 s, and the drift.
	aloneWithin = 4.1
)

// regionCut is a region without a link to the others for five minutes, while versions are published.
func regionCut() scale.Event {
	return scale.Event{
		Name:  regionCutName,
		About: "one of five regions is cut off for 5 minutes; two rule sets are published on the leader's side; links 80 ms, 1% loss",
		Costs: costsOf(regionCutName,
			scale.Cost{Name: "connected-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "connected-in-force-max", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "lease-end-after-cut-max", Unit: scale.Seconds, Budget: aloneWithin},
			scale.Cost{Name: "current-after-heal-max", Unit: scale.Seconds, Budget: currentWithin},
			scale.Cost{Name: "nodes-not-current-at-end", Unit: scale.Count, Budget: none},
			scale.Cost{Name: "versions-together", Unit: scale.Count, Budget: 1, Bound: 1},
			scale.Cost{Name: "steps-back", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "requests-by-passed-version", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "requests-by-settings-alone", Unit: scale.Count},
			scale.Cost{Name: "asks-refused-full", Unit: scale.Count},
			scale.Cost{Name: "peak-node-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "mean-node-bytes", Unit: scale.BytesPerSecond, Budget: controlBytesPerSecond},
			scale.Cost{Name: "peak-leader-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-node-cpu", Unit: scale.CorePercent, Budget: controlCorePercent, Timed: true},
			scale.Cost{Name: "peak-leader-cpu", Unit: scale.CorePercent, Timed: true},
		),
		Play: measure(regionCutName, measureRegionCut),
	}
}

// cutRun is a region's cut in progress.
type cutRun struct {
	*ruleFleet
	inside, outside []int
	versions        []uint64 // published during the cut
	ended           time.Duration
	alone           time.Duration // of all nodes within, without a version
}

func measureRegionCut(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	r := planCut(newRuleFleet(ctx, f, usualLinks(), cutAt+cutFor+cutAfter, seed))
	if err := r.run(); err != nil {
		return err
	}
	r.report(out)
	return nil
}

// planCut plans a cut of a fleet's region.
func planCut(s *ruleFleet) *cutRun {
	r := &cutRun{ruleFleet: s}
	for i := range s.nodes {
		if s.size.regionOf(i) == cutRegion {
			r.inside = append(r.inside, i)
		} else {
			r.outside = append(r.outside, i)
		}
	}
	s.textSize = 4 << 10
	s.after(time.Second, func() { s.publish(s.activate) })
	s.after(cutAt, r.cut)
	for _, at := range []time.Duration{cutFirst, cutSecond} {
		s.after(cutAt+at, r.publishOne)
	}
	s.after(cutAt+cutFor, r.heal)
	return r
}

func (r *cutRun) publishOne() {
	r.after(cutSettle, r.together)
	r.publish(func(number uint64) {
		r.versions = append(r.versions, number)
		r.activate(number)
	})
}

func (r *cutRun) cut() {
	r.links.cutRegion = cutRegion
	r.meter.restart(r.Now + time.Second)
	r.membersChange(r.inside, detectFrom, detectMost)
	r.membersChange(r.outside, detectFrom, detectMost)
	r.watchLeases()
}

// watchLeases looks each 50 ms whether a node that is cut off acts by a lease yet.
func (r *cutRun) watchLeases() {
	for _, i := range r.inside {
		if r.nodes[i].acting != 0 {
			r.ended = r.Now - cutAt
			r.after(50*time.Millisecond, r.watchLeases)
			return
		}
	}
}

func (r *cutRun) heal() {
	r.links.cutRegion = noRegion
	for _, i := range r.inside {
		if r.nodes[i].acting == 0 {
			r.alone += r.Now - max(cutAt, r.nodes[i].changed)
		}
	}
	r.membersChange(r.inside, 0, rejoinMost)
	r.membersChange(r.outside, 0, rejoinMost)
}

// report gives the figures of a cut that has ended.
func (r *cutRun) report(out *figures) {
	healed, worst, behind := cutAt+cutFor, 0.0, 0
	for i := range r.nodes {
		at := r.nodes[i].changed
		if r.nodes[i].acting != r.newest {
			at = r.end // not even then
			behind++
		}
		worst = max(worst, (at - healed).Seconds())
	}
	var late []float64
	for _, number := range r.versions {
		v := r.ruleFleet.versions[number]
		for _, s := range v.late {
			if v.published+time.Duration(s*float64(time.Second)) < healed {
				late = append(late, s)
			}
		}
		for range max(0, len(r.outside)-len(v.late)) {
			late = append(late, (r.end - v.published).Seconds())
		}
	}
	out.add("connected-in-force-p99", quantile(late, 0.99))
	out.add("connected-in-force-max", quantile(late, 1))
	out.add("lease-end-after-cut-max", r.ended.Seconds())
	out.add("current-after-heal-max", worst)
	out.add("nodes-not-current-at-end", float64(behind))
	out.add("versions-together", float64(r.wrong.together))
	out.add("steps-back", float64(r.wrong.stepsBack))
	out.add("requests-by-passed-version", r.wrong.staleRequests())
	out.add("requests-by-settings-alone", r.alone.Seconds()*requestsPerSecond)
	out.add("asks-refused-full", float64(r.full))
	of := r.byRole()
	out.add("peak-node-bytes", r.meter.peakBytes(of[ordinary]))
	out.add("mean-node-bytes", r.meter.meanBytes(of[ordinary], r.end))
	out.add("peak-leader-bytes", r.meter.peakBytes(of[leader]))
	out.add("peak-node-cpu", r.meter.peakCPU(ordinary, len(of[ordinary])))
	out.add("peak-leader-cpu", r.meter.peakCPU(leader, 1))
}
