package scenario

import (
	"errors"
	"fmt"
	"slices"
)

// kinds are the faults that can be named, with what each needs beyond its time.
var kinds = map[string]struct{ share, size, span bool }{
	"kill":     {share: true},                         // SIGKILL of nodes; they start anew after for_s
	"stop":     {share: true, span: true},             // SIGSTOP, then SIGCONT
	"throttle": {share: true, size: true, span: true}, // nodes run for a part of the time, size, each by a phase of its own
	"restart":  {share: true},                         // SIGTERM of some nodes each each_s until share is through
	"slow":     {share: true, size: true, span: true},
	"errors":   {share: true, size: true, span: true},
	"pause":    {share: true, span: true},
	"crash":    {share: true},                         // servers die; back cold after for_s
	"zone":     {span: true},                          // servers of a zone vanish, back cold
	"split":    {span: true},                          // a zone is cut off from the others
	"oneway":   {span: true},                          // from a zone requests go out, answers do not come
	"delay":    {size: true, span: true},              // links to a zone take size ms longer
	"loss":     {size: true, span: true},              // part of the packets of links to a zone is lost
	"reset":    {share: true},                         // open connections to some servers are reset
	"replace":  {share: true, span: true},             // servers drain and new ones come, over for_s
	"dark":     {span: true},                          // discovery is silent
	"full":     {span: true},                          // discovery turns calls away and ends open watches
	"silent":   {},                                    // open watches of discovery say nothing more; new ones are answered
	"spoilt":   {span: true},                          // discovery sends what is no list
	"move":     {},                                    // discovery moves; nodes get SIGHUP
	"counter":  {span: true},                          // the counter is gone, back empty
	"burst":    {size: true, span: true},              // everybody asks size times as much
	"shared":   {size: true, span: true},              // all servers are slower by size
	"drop":     {share: true, span: true},             // links lose all, or size of their connections and packets: silent or reset
	"stall":    {share: true, span: true},             // links take bytes and keep them; all come at the end
	"trickle":  {share: true, size: true, span: true}, // links let size bytes a second through
	"lag":      {share: true, size: true, span: true}, // links take size ms longer, one way
	"disk":     {share: true, span: true},             // nodes' disks fail, as how says; size is a part, 1 if not given
	"power":    {share: true},                         // SIGKILL, and the disk loses what was not on it; nodes start anew after for_s
}

// hows are the ways in which a disk fails, and what it loses at the end of its power.
var hows = map[string][]string{
	"disk":  {"lies", "full", "readonly", "stalled", "erring", "turned"},
	"power": {"", "torn", "older"},
}

var linkKinds = []string{"peers", "servers", "agents", "clients"}

// check looks at what a fault names beyond its time, share and size.
func (x *Fault) check(before []Fault) error {
	switch ways, link := hows[x.Kind], slices.Contains([]string{"drop", "stall", "trickle", "lag"}, x.Kind); {
	case ways != nil && !slices.Contains(ways, x.How):
		return fmt.Errorf("how: %q is none of %q", x.How, ways)
	case ways == nil && x.How != "":
		return errors.New("how: a disk or power alone has it")
	case link && len(x.Links) == 0:
		return fmt.Errorf("links: none of %v is named", linkKinds)
	case !link && (len(x.Links) > 0 || x.Pairs || x.Direction != ""):
		return errors.New("links, pairs, direction: links alone have them")
	case x.Reset && x.Kind != "drop":
		return errors.New("reset: what drops alone has it")
	case !slices.Contains([]string{"", "out", "in"}, x.Direction):
		return fmt.Errorf("direction: %q is neither out nor in", x.Direction)
	case (x.Kind == "drop" || x.Kind == "throttle" || x.How == "erring" || x.How == "turned") && x.Size.Hi > 1:
		return fmt.Errorf("size: %v is no part", x.Size)
	case x.How == "older" && x.Size.Lo < 1:
		return errors.New("size: at least one sync is gone back")
	case x.Same < 0 || x.Same > len(before):
		return fmt.Errorf("same: there is no fault %d before this one", x.Same)
	case x.Same > 0 && !takesNodes(before[x.Same-1].Kind):
		return fmt.Errorf("same: fault %d takes no nodes", x.Same)
	}
	for _, l := range x.Links {
		if !slices.Contains(linkKinds, l) {
			return fmt.Errorf("links: %q is none of %v", l, linkKinds)
		}
	}
	return nil
}

// takesNodes tells whether a fault's targets are nodes.
func takesNodes(kind string) bool {
	return slices.Contains([]string{"kill", "stop", "throttle", "restart", "disk", "power", "drop", "stall", "trickle", "lag"}, kind)
}

// Disks tells whether disks fail in a scenario, so that the program is to be built for it.
func (f *File) Disks() bool {
	return slices.ContainsFunc(f.Fault, func(x Fault) bool { return hows[x.Kind] != nil })
}

func (f *File) check() error {
	switch {
	case f.Name == "":
		return errors.New("name: there is none")
	case !(f.Seconds >= 1 && f.Seconds <= 3600):
		return fmt.Errorf("seconds: %g is not within 1 to 3600", f.Seconds)
	case f.Fleet.Nodes.Lo < 1 || f.Fleet.Nodes.Hi > 10000:
		return fmt.Errorf("fleet.nodes: %v is not within 1 to 10000", f.Fleet.Nodes)
	case f.Fleet.Servers.Lo < 1 || f.Fleet.Servers.Hi > 10000:
		return fmt.Errorf("fleet.servers: %v is not within 1 to 10000", f.Fleet.Servers)
	case f.Fleet.Zones.Lo < 1 || f.Fleet.Zones.Hi > 26:
		return fmt.Errorf("fleet.zones: %v is not within 1 to 26", f.Fleet.Zones)
	case len(f.Class) == 0 || len(f.Plan) == 0:
		return errors.New("class, plan: at least one of each is needed")
	}
	for i, x := range f.Fault {
		k, ok := kinds[x.Kind]
		at := fmt.Sprintf("fault %d (%s): ", i+1, x.Kind)
		switch {
		case !ok:
			return fmt.Errorf("%sno such kind", at)
		case x.AtS.Hi+x.ForS.Hi > f.Seconds && k.span:
			return fmt.Errorf("%sends after the day of %g s", at, f.Seconds)
		case k.share && x.Same == 0 && !(x.Share.Lo > 0 && x.Share.Hi <= 1):
			return fmt.Errorf("%sshare: %v is not within 0 to 1", at, x.Share)
		case k.size && !(x.Size.Lo > 0):
			return fmt.Errorf("%ssize: %v is not positive", at, x.Size)
		case k.span && !(x.ForS.Lo > 0):
			return fmt.Errorf("%sfor_s: %v is not positive", at, x.ForS)
		case x.Zone != nil && (*x.Zone < 0 || *x.Zone >= int(f.Fleet.Zones.Lo)):
			return fmt.Errorf("%szone: there is no zone %d", at, *x.Zone)
		}
		if err := x.check(f.Fault[:i]); err != nil {
			return fmt.Errorf("%s%w", at, err)
		}
	}
	if (f.On.Limits || f.On.Verdicts) && !f.On.Peers {
		return errors.New("on.limits, on.verdicts: on.peers has to be true too")
	}
	if f.On.Subset < 0 {
		return fmt.Errorf("on.subset: %d is no number of servers", f.On.Subset)
	}
	for _, c := range f.Class {
		if !(c.AimMS > 0 && c.DeadlineMS >= c.AimMS) {
			return fmt.Errorf("class %s: aim_ms and deadline_ms: %g and %g do not fit", c.Name, c.AimMS, c.DeadlineMS)
		}
		if c.Effect != "free" && c.Effect != "guarded" && c.Effect != "single_shot" {
			return fmt.Errorf("class %s: effect: unknown value %q", c.Name, c.Effect)
		}
	}
	return nil
}
