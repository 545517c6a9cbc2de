package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Stage is the stage of a lease.
type Stage uint8

// Stages of a lease. It is held from StageGranted to StageWarmingUp. A halt releases a lease in
// StageGranted, and recalls the machine in StageDraining and StageDrained.
const (
	StageWaiting   Stage = iota // no process requests the lease, or it was released
	StageRequested              // a process on the host requests the lease
	StageGranted                // the drain may begin until the grant expires
	StageDraining               // the drain has begun
	StageDrained                // the machine was observed idle and may leave service
	StageRecalled               // the machine has to undrain
	StageOut                    // the machine is out of service for its work
	StageArrived                // the machine is back from its work
	StageWarmingUp              // the machine was observed in slow start after its work
	StageDone                   // the machine is back in service, or there is no work for it
)

func (s Stage) String() string {
	return enumName(s, "waiting", "asked", "granted", "draining", "drained", "recalled", "out", "arrived",
		"warming", "done")
}

// isHeld reports whether a lease in this stage is held, so that its machine counts as unavailable.
func (s Stage) isHeld() bool { return s >= StageGranted && s < StageDone }

// Lease is the maintenance lease of one host.
type Lease struct {
	Host         string    `cbor:"1,keyasint"`
	Name         string    `cbor:"2,keyasint"` // name of the process that requested it last
	Job          string    `cbor:"3,keyasint"`
	WorkDuration Duration  `cbor:"4,keyasint"`
	Deadline     Timestamp `cbor:"5,keyasint"`
	Stage        Stage     `cbor:"6,keyasint"`
	// FencingToken is the current fencing token, 0 if the lease is not held. Requests with another
	// token are rejected.
	FencingToken uint64        `cbor:"7,keyasint"`
	Nonce        uint64        `cbor:"8,keyasint"` // random number of the process that requested it last
	StageSince   time.Duration `cbor:"9,keyasint"` // group time at which the stage began; observations from before do not count
	// TimerAt is a group time: in StageGranted the time at which the grant expires, in
	// StageWaiting and StageRequested the time before which the lease is not granted again.
	TimerAt          time.Duration `cbor:"10,keyasint"`
	UndrainConfirmed bool          `cbor:"11,keyasint"` // the agent of a recalled machine confirmed that it serves again
	SeenGone         bool          `cbor:"12,keyasint"` // the machine was observed gone while out of service
	UnusedGrants     int           `cbor:"13,keyasint"` // consecutive grants that were not used
}

// Limits of the decisions on leases.
const (
	maxObservationAge = time.Second // age of the last observation above which no machine may leave service
	maxRegrantDelay   = time.Hour   // delay after unused grants before the next one
	maxAdoptedNames   = 1024        // names that operators have bound to hosts
)

// State is the state that results from the commands applied so far. It is not safe for concurrent
// use.
type State struct {
	now                    time.Duration
	wallTime               Timestamp
	lastFencingToken       uint64
	planVersion            uint64
	plan                   *compiledPlan // nil means none
	planLoadedAt           time.Duration // group time of the last LoadPlan
	observations           uint64        // number of observations applied
	observedAt             time.Duration // group time as of which all machines are known
	lastObservationPartial bool
	zones                  map[string]ZoneState
	uplinkWindows          []UplinkWindow
	halt                   haltState
	machines               map[string]*machine
	leases                 map[string]*Lease
	doneJobs               map[string]string // job done at each host
	hostByAdoptedName      map[string]string // hosts by adopted name
	usage                  usage
}

// machine is an observed machine, with the time of its observation and its availability.
type machine struct {
	Machine
	observedAt  time.Duration // group time of the last observation that lists it; State.observedAt counts if later
	unavailable bool          // counted as unavailable in State.usage
}

// New returns the state before the first command.
func New() *State {
	return &State{zones: map[string]ZoneState{}, machines: map[string]*machine{}, leases: map[string]*Lease{},
		doneJobs: map[string]string{}, hostByAdoptedName: map[string]string{}, usage: newUsage(0, 0)}
}

// Result is the outcome of a command.
type Result struct {
	Response      Response  // response to a Request
	Granted       []string  // hosts that were granted a lease; notify them soon, as their agents poll rarely
	Forecast      *Forecast // set after LoadPlan
	ForecastStale bool      // the last forecast may no longer hold
	Err           error     // why the command had no effect; one of the package's error types
}

// Now returns the group time of the last command. A new leader continues from it.
func (s *State) Now() time.Duration { return s.now }

// Active reports whether any lease is held or any work is left, so that the leader has to observe
// the fleet.
func (s *State) Active() bool {
	if s.plan != nil && len(s.doneJobs) < len(s.plan.hosts) {
		return true
	}
	for _, lease := range s.leases {
		if lease.Stage.isHeld() {
			return true
		}
	}
	return false
}

// Apply applies the next command of the log. The same commands lead to the same state at each
// replica.
func (s *State) Apply(c *Command) (result Result) {
	s.now = max(s.now, c.GroupTime)
	s.wallTime = c.WallTime
	s.expireGrants(&result)
	switch {
	case c.LoadPlan != nil:
		s.loadPlan(c.LoadPlan, &result)
	case c.Observation != nil:
		s.observe(c.Observation, &result)
	case c.Request != nil:
		s.handleRequest(c.Request, &result)
	case c.Halt != nil:
		s.haltWork(&s.halt.operatorReason, cmp.Or(c.Halt.Reason, "by hand"), &result)
	case c.Resume != nil:
		s.resume(&result)
	case c.Uplinks != nil:
		s.uplinkWindows, result.ForecastStale = slices.Clone(c.Uplinks.Windows), true
	case c.AdoptName != nil:
		result.Err = s.adoptName(c.AdoptName)
		result.ForecastStale = result.Err == nil
	case c.DropLease != nil:
		s.dropLease(c.DropLease.Host, &result)
	}
	return result
}

// expireGrants releases the leases whose drain has not begun before the grant expired.
func (s *State) expireGrants(result *Result) {
	for _, lease := range s.leases {
		if lease.Stage == StageGranted && s.now >= lease.TimerAt {
			s.release(lease, true)
			result.ForecastStale = true
		}
	}
}

// heldLeases returns the held leases, sorted by host.
func (s *State) heldLeases() (held []*Lease) {
	for _, lease := range s.leases {
		if lease.Stage.isHeld() {
			held = append(held, lease)
		}
	}
	slices.SortFunc(held, func(a, b *Lease) int { return cmp.Compare(a.Host, b.Host) })
	return held
}

// setStage moves a lease to a stage.
func (s *State) setStage(lease *Lease, stage Stage) {
	lease.Stage, lease.StageSince = stage, s.now
	s.updateAvailability(s.machines[lease.Host])
}

// updateAvailability counts a machine as available or unavailable, by its phase and its lease.
func (s *State) updateAvailability(m *machine) {
	if m == nil {
		return
	}
	unavailable := m.Phase != PhaseWarm
	if lease := s.leases[m.Host]; lease != nil && lease.Stage.isHeld() {
		unavailable = true
	}
	if unavailable != m.unavailable {
		m.unavailable = unavailable
		delta := -1
		if unavailable {
			delta = 1
		}
		s.usage.addUnavailable(m, s.groupsOf(m.Host), delta)
	}
}

func (s *State) groupsOf(host string) []int {
	if s.plan == nil {
		return nil
	}
	return s.plan.groupsByHost[host]
}

// release ends a held lease without counting its work as done, and voids its fencing token. unused
// means that the host never began its drain: each consecutive unused grant doubles the delay before
// the next one, so that a host that requests a lease and never drains delays the others little.
func (s *State) release(lease *Lease, unused bool) {
	lease.FencingToken, lease.Nonce, lease.UndrainConfirmed, lease.SeenGone = 0, 0, false, false
	lease.UnusedGrants++
	if !unused {
		lease.UnusedGrants = 0
	}
	lease.TimerAt = s.now
	if s.plan != nil && unused {
		lease.TimerAt += min(time.Duration(s.plan.plan.GrantTimeout)<<min(lease.UnusedGrants, 10), maxRegrantDelay)
	}
	s.setStage(lease, StageWaiting)
	if _, pending := s.pendingWork(lease.Host); !pending {
		delete(s.leases, lease.Host)
	}
}

// pendingWork returns the work that is still to be done at a host, and whether there is any.
func (s *State) pendingWork(host string) (hostWork, bool) {
	if s.plan == nil {
		return hostWork{}, false
	}
	work, ok := s.plan.workByHost[host]
	return work, ok && s.doneJobs[host] != work.job
}

// finish ends the lease of a machine that is back in service.
func (s *State) finish(lease *Lease) {
	if s.plan != nil && s.plan.workByHost[lease.Host].job == lease.Job {
		s.doneJobs[lease.Host] = lease.Job
	}
	delete(s.leases, lease.Host)
	s.updateAvailability(s.machines[lease.Host])
}

// loadPlan puts a plan in force. Grants that were not used are void, draining machines are recalled
// if the new plan has no work for them, and machines out of service keep their lease until they are
// back.
func (s *State) loadPlan(load *LoadPlan, result *Result) {
	if load.Version <= s.planVersion {
		result.Err = &StalePlanError{Current: s.planVersion, Got: load.Version}
		return
	}
	var plan *compiledPlan
	if load.Plan != nil {
		plan, result.Err = compile(load.Plan)
		if result.Err != nil {
			return
		}
	}
	s.planVersion, s.plan, s.planLoadedAt, result.ForecastStale = load.Version, plan, s.now, true
	maps.DeleteFunc(s.doneJobs, func(host, job string) bool { return plan == nil || plan.workByHost[host].job != job })
	for _, lease := range s.leases {
		work, pending := s.pendingWork(lease.Host)
		if pending && lease.Stage < StageOut {
			lease.Job, lease.WorkDuration, lease.Deadline = work.job, work.duration, work.deadline
		}
		switch {
		case lease.Stage == StageGranted:
			s.release(lease, false)
		case lease.Stage.isHeld() && lease.Stage < StageOut && !pending:
			s.recall(lease)
		case !lease.Stage.isHeld() && !pending:
			delete(s.leases, lease.Host)
		}
	}
	s.recountUsage()
	result.Forecast = s.Forecast()
}

// recountUsage counts the usage of the whole fleet again.
func (s *State) recountUsage() {
	groupCount := 0
	if s.plan != nil {
		groupCount = len(s.plan.groups)
	}
	s.usage = newUsage(len(s.usage.ring), groupCount)
	for _, m := range s.machines {
		m.unavailable = false
		s.usage.addMachine(m, 1)
		s.updateAvailability(m)
	}
}

// recall makes a draining or drained machine undrain.
func (s *State) recall(lease *Lease) {
	if lease.Stage == StageDraining || lease.Stage == StageDrained {
		lease.UndrainConfirmed = false
		s.setStage(lease, StageRecalled)
	}
}

// adoptName binds a name to a host, for example one that came back with a new disk and another
// name.
func (s *State) adoptName(adoption *AdoptName) error {
	if (s.machines[adoption.Host] == nil && s.leases[adoption.Host] == nil) || len(s.hostByAdoptedName) >= maxAdoptedNames {
		return &UnknownHostError{Host: adoption.Host}
	}
	if lease := s.leases[adoption.Name]; (lease != nil && lease.Stage.isHeld()) || adoption.Name == adoption.Host {
		return &NameTakenError{Host: adoption.Host, Name: adoption.Name, UsedBy: adoption.Name}
	}
	s.hostByAdoptedName[adoption.Name] = adoption.Host
	delete(s.leases, adoption.Name)
	if m := s.machines[adoption.Name]; m != nil {
		s.removeMachine(adoption.Name)
		m.Host = adoption.Host
		s.putMachine(m.Machine, m.observedAt)
	}
	return nil
}

// dropLease ends the lease of a machine that is gone for good. While the fleet lists the machine,
// it counts as unavailable.
func (s *State) dropLease(host string, result *Result) {
	lease, m := s.leases[host], s.machines[host]
	switch {
	case lease == nil || !lease.Stage.isHeld():
		result.Err = &OrderError{Host: host, Operation: "drop", Stage: s.stage(host)}
	case m != nil && m.Phase != PhaseGone:
		result.Err = &OrderError{Host: host, Operation: "drop", Stage: lease.Stage, Phase: m.Phase, WrongPhase: true}
	default:
		s.release(lease, false)
		result.ForecastStale = true
	}
}

// stage returns the stage of a host's lease; a host without pending work is done.
func (s *State) stage(host string) Stage {
	if lease := s.leases[host]; lease != nil {
		return lease.Stage
	}
	if _, pending := s.pendingWork(host); pending {
		return StageWaiting
	}
	return StageDone
}
