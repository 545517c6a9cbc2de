package maintenance

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// actualState is the actual state of a machine. State depends on it only through observations and
// requests.
type actualState uint8

const (
	actuallyServing actualState = iota
	actuallyDraining
	actuallyOut
	actuallyCold
)

const (
	tickInterval        = 300 * time.Millisecond
	maxFaults           = 2 // crashes, pauses, halts and leader changes on one path
	maxRequestsInFlight = 4
	slowStartDuration   = 3 * tickInterval
)

// message is a message in flight: a request, its response or an observation.
type message struct {
	host        int
	request     *Request
	observation *Observation
	response    *Response
	nonce       uint64        // random number of the sending process
	sentAt      time.Duration // time on the sender's clock
}

// model is three machines of which at most one may be unavailable, the replicated state and all
// messages in flight.
type model struct {
	now         time.Duration
	state       *State
	actual      [3]actualState
	agents      [3]Agent
	paused      [3]bool
	warmAt      [3]time.Duration // end of the slow start, valid in actuallyCold
	processes   uint64
	inFlight    []message
	maxInFlight int
	faults      int
}

func clockOffset(i int) time.Duration { return time.Duration(i) * time.Hour }

var threeHostPlan = &Plan{GrantTimeout: Duration(4 * tickInterval), DrainDuration: Duration(time.Second),
	WarmUpDuration: Duration(time.Second),
	Bounds:         Bounds{MaxZoneFraction: 1000, MaxSetFraction: 340, SetSizes: []int{3}, MaxCapacityFraction: 1000},
	HaltPolicy: HaltPolicy{MaxServedDrop: 20, MaxNoMajorityDuration: Duration(time.Second),
		ResumeMode: ResumeAutomatically},
	Jobs: []Job{{Name: "disk", Hosts: []string{"n[0-2]"}, WorkDuration: Duration(time.Minute)}}}

var (
	hostNames      = [...]string{"n0", "n1", "n2"}
	observedPhases = [...]Phase{actuallyServing: PhaseWarm, actuallyDraining: PhaseIdle, actuallyOut: PhaseGone,
		actuallyCold: PhaseCold}
)

func hostName(i int) string { return hostNames[i] }

// newModel returns a model with a plan in force and three serving machines.
func newModel(t *testing.T) *model {
	// firstGrantDelay has passed since the plan was loaded.
	m := &model{maxInFlight: maxRequestsInFlight, now: firstGrantDelay}
	state := New()
	require.NoError(t, state.Apply(&Command{LoadPlan: &LoadPlan{Version: 1, Plan: threeHostPlan}}).Err)
	for i := range m.agents {
		m.startProcess(i)
	}
	m.state = state
	m.tick(state)
	return m
}

// cloneForTest returns a copy of the state that commands can change independently.
func (s *State) cloneForTest() *State {
	c := *s
	c.zones, c.doneJobs, c.usage = maps.Clone(s.zones), maps.Clone(s.doneJobs), s.usage.clone()
	c.leases, c.machines = make(map[string]*Lease, 3), make(map[string]*machine, 3)
	for host, lease := range s.leases {
		copied := *lease
		c.leases[host] = &copied
	}
	for host, m := range s.machines {
		copied := *m
		c.machines[host] = &copied
	}
	return &c
}

// startProcess starts a new process on a host.
func (m *model) startProcess(i int) {
	m.processes++
	m.agents[i] = *NewAgent(hostName(i), hostName(i), m.processes, false)
	m.paused[i] = false
}

// tick advances the time: the agents send requests and the leader sends an observation.
func (m *model) tick(state *State) {
	m.now += tickInterval
	for i := range m.agents {
		if m.actual[i] == actuallyCold && m.now >= m.warmAt[i] {
			m.actual[i] = actuallyServing
		}
		if m.paused[i] || m.actual[i] == actuallyOut {
			continue
		}
		m.perform(i, m.agents[i].CheckTimeout(m.now+clockOffset(i)))
		if len(m.inFlight) < m.maxInFlight {
			request := m.agents[i].NextRequest(m.now + clockOffset(i))
			m.inFlight = append(m.inFlight, message{host: i, request: &request, nonce: m.agents[i].nonce,
				sentAt: m.now + clockOffset(i)})
		}
	}
	o := state.Diff(m.observedMachines())
	o.MeasuredAt, o.RingSize, o.ServedFraction = m.now, 3, 900
	m.inFlight = append(m.inFlight, message{observation: o})
}

func (m *model) observedMachines() (observed []Machine) {
	for i, actual := range m.actual {
		observed = append(observed, Machine{Host: hostName(i), Name: hostName(i), Zone: "z" + hostName(i),
			Index: i, Capacity: 10, Phase: observedPhases[actual]})
	}
	return observed
}

func (m *model) perform(i int, action Action) {
	switch action {
	case ActionDrain:
		m.actual[i] = actuallyDraining
	case ActionUndrain:
		m.actual[i] = actuallyServing
	case ActionLeave:
		m.actual[i] = actuallyOut
	}
}

// deliver delivers a message to its receiver.
func (m *model) deliver(state *State, msg message, bug string) {
	now := m.now + time.Millisecond // later than the measurement of the current tick
	switch {
	case msg.observation != nil:
		state.Apply(&Command{GroupTime: now, Observation: msg.observation})
	case msg.response != nil:
		agent := &m.agents[msg.host]
		if agent.nonce != msg.nonce || m.actual[msg.host] == actuallyOut {
			return // the connection ended with the process
		}
		if bug == "stale responses are accepted" {
			agent.responseSentAt, agent.abandonedToken, agent.response.FencingToken = 0, 0, 0
			msg.response.TTL = time.Hour
		}
		m.perform(msg.host, agent.HandleResponse(m.now+clockOffset(msg.host), msg.sentAt, *msg.response))
	default:
		request := *msg.request
		if lease := state.leases[request.Host]; bug == "stale requests are accepted" && lease != nil &&
			request.Type > RequestAcquire {
			request.FencingToken = lease.FencingToken
		}
		response := state.Response(request.Host)
		if request.Type != RequestPoll {
			response = state.Apply(&Command{GroupTime: now, Request: &request}).Response
		}
		if lease := state.leases[request.Host]; bug == "lease ends on arrival" && lease != nil &&
			lease.Stage == StageArrived {
			state.finish(lease)
		}
		m.inFlight = append(m.inFlight, message{host: msg.host, response: &response, nonce: msg.nonce, sentAt: msg.sentAt})
	}
}

// choiceCount returns the number of possible next steps: a tick, three for each message and, below
// maxFaults, the faults of injectFault.
func (m *model) choiceCount() int {
	count := 1 + 3*len(m.inFlight)
	if m.faults < maxFaults {
		count += 3*3 + 2
	}
	return count
}

// step performs one of the next steps. It returns false if the step is not possible.
func (m *model) step(choice int, bug string) bool {
	state := m.state.cloneForTest()
	if choice == 0 {
		m.tick(state)
	} else if choice--; choice < 3*len(m.inFlight) { // deliver, duplicate or drop a message, in any order
		msg := m.inFlight[choice/3]
		m.inFlight = slices.Clone(m.inFlight)
		if choice%3 != 1 {
			m.inFlight = slices.Delete(m.inFlight, choice/3, choice/3+1)
		}
		if choice%3 != 2 {
			m.deliver(state, msg, bug)
		}
	} else if !m.injectFault(state, choice-3*len(m.inFlight), bug) {
		return false
	}
	m.state = state
	return true
}

// injectFault injects one of three faults of a machine (numbers 0 to 8), a crash of the leader (9) or
// a halt (10). It returns false if the fault is not possible.
func (m *model) injectFault(state *State, fault int, bug string) bool {
	i := fault % 3
	m.faults++
	switch fault / 3 {
	case 0: // the process crashes and another starts with an empty disk, or a machine returns from its work
		if m.actual[i] == actuallyOut {
			m.actual[i], m.warmAt[i] = actuallyCold, m.now+slowStartDuration
			m.faults-- // not a fault
		} else {
			m.actual[i] = actuallyServing // slow start is skipped: only unavailability that leases cause is checked
		}
		m.startProcess(i)
	case 1: // the process is paused, or resumes and first checks for a timeout
		if m.paused[i] = !m.paused[i]; !m.paused[i] {
			m.perform(i, m.agents[i].CheckTimeout(m.now+clockOffset(i)))
		}
	case 2: // the connections of the process break
		if m.paused[i] {
			return false
		}
		m.inFlight = slices.DeleteFunc(slices.Clone(m.inFlight),
			func(msg message) bool { return msg.observation == nil && msg.host == i })
	default:
		if i == 1 {
			state.Apply(&Command{GroupTime: m.now, Halt: &Halt{}})
			break
		}
		// The leader crashes: its proposals that were not committed are lost.
		m.inFlight = slices.DeleteFunc(slices.Clone(m.inFlight), func(msg message) bool { return msg.response == nil })
		if bug == "leases are forgotten" {
			for _, lease := range state.heldLeases() {
				state.setStage(lease, StageRequested)
			}
		}
	}
	return true
}

// violation describes a violated invariant, or returns "".
func (m *model) violation() string {
	state, unavailable := m.state, 0
	for i, actual := range m.actual {
		if actual == actuallyServing {
			continue
		}
		if unavailable++; !state.stage(hostName(i)).isHeld() {
			return fmt.Sprintf("%s is unavailable (actual state %d) and its lease is %v", hostName(i), actual,
				state.stage(hostName(i)))
		}
	}
	if n := len(state.heldLeases()); unavailable > 1 || n > 1 {
		return fmt.Sprintf("%d machines are unavailable and %d leases are held, want at most 1 of each", unavailable, n)
	}
	return ""
}

// hash identifies the model's state.
func (m *model) hash() uint64 {
	buf := make([]byte, 0, 1024)
	put := func(values ...uint64) {
		for _, v := range values {
			buf = binary.AppendUvarint(buf, v)
		}
	}
	boolBit := func(v bool) uint64 {
		if v {
			return 1
		}
		return 0
	}
	putResponse := func(r *Response) { put(uint64(r.Stage), r.FencingToken, r.Nonce, uint64(r.TTL)) }
	state := m.state
	put(uint64(m.now), uint64(m.faults), uint64(state.now), uint64(state.observedAt), state.lastFencingToken,
		state.observations, uint64(len(state.halt.operatorReason)), uint64(len(state.halt.faultReason)))
	for i := range m.agents {
		agent := &m.agents[i]
		put(uint64(m.actual[i]), uint64(m.warmAt[i]), boolBit(m.paused[i]), agent.nonce,
			boolBit(agent.registered), uint64(agent.responseSentAt), agent.abandonedToken,
			boolBit(agent.draining), boolBit(agent.inWork))
		putResponse(&agent.response)
		if lease := state.leases[hostName(i)]; lease != nil {
			put(uint64(lease.Stage), lease.FencingToken, lease.Nonce, uint64(lease.StageSince),
				uint64(lease.TimerAt), boolBit(lease.UndrainConfirmed), boolBit(lease.SeenGone), uint64(lease.UnusedGrants))
		}
		if seen := state.machines[hostName(i)]; seen != nil {
			put(uint64(seen.Phase), uint64(seen.observedAt))
		}
	}
	for _, msg := range m.inFlight {
		put(uint64(msg.host), msg.nonce, uint64(msg.sentAt))
		switch {
		case msg.request != nil:
			put(uint64(msg.request.Type), msg.request.FencingToken, msg.request.Nonce)
		case msg.response != nil:
			putResponse(msg.response)
		default:
			put(msg.observation.Base, uint64(msg.observation.MeasuredAt))
			for _, seen := range msg.observation.Machines {
				put(uint64(seen.Index), uint64(seen.Phase))
			}
		}
	}
	return xxhash.Sum64(buf)
}
