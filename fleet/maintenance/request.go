package maintenance

import "time"

// responseTTL is the time for which an agent may act on a response to a request. A machine that
// drains and receives no newer response within it is undrained, as the consensus group may have
// lost its majority.
const responseTTL = time.Second

// Response is the leader's response to a machine's agent: the state of its host's lease.
type Response struct {
	Host         string `cbor:"1,keyasint"`
	Stage        Stage  `cbor:"2,keyasint"`
	FencingToken uint64 `cbor:"3,keyasint"`
	Nonce        uint64 `cbor:"4,keyasint"` // random number of the process that holds or requests the lease
	// TTL is the time for which the agent may act on the response, counted from before it sent the
	// request.
	TTL          time.Duration `cbor:"5,keyasint"`
	Job          string        `cbor:"6,keyasint,omitempty"`
	WorkDuration Duration      `cbor:"7,keyasint,omitempty"`
}

// Response returns the state of a host's lease.
func (s *State) Response(host string) Response {
	if adoptedHost := s.hostByAdoptedName[host]; adoptedHost != "" {
		host = adoptedHost
	}
	response := Response{Host: host, Stage: s.stage(host), TTL: responseTTL}
	if lease := s.leases[host]; lease != nil {
		response.FencingToken, response.Nonce, response.Job, response.WorkDuration = lease.FencingToken,
			lease.Nonce, lease.Job, lease.WorkDuration
		if lease.Stage == StageGranted {
			response.TTL = lease.TimerAt - s.now
		}
	}
	return response
}

// Encode returns the response in canonical CBOR.
func (r *Response) Encode() ([]byte, error) { return encoder.Marshal(r) }

// DecodeResponse decodes and validates a response.
func DecodeResponse(raw []byte) (*Response, error) {
	const maxBytes = 512
	response := &Response{}
	if len(raw) > maxBytes {
		return nil, malformed("response", "%d bytes", len(raw))
	}
	if err := decoder.Unmarshal(raw, response); err != nil {
		return nil, malformed("response", "%s", oneLine(err))
	}
	if !validName(response.Host) || response.Stage > StageDone || response.TTL < 0 ||
		time.Duration(response.WorkDuration) > maxDuration || response.WorkDuration < 0 ||
		(response.Job != "" && !validName(response.Job)) {
		return nil, malformed("response", "host %q, stage %v", response.Host, response.Stage)
	}
	return response, nil
}

// handleRequest applies the request of a machine's agent. Requests are idempotent: a repeated one
// changes nothing and gets the same response.
func (s *State) handleRequest(req *Request, result *Result) {
	host := req.Host
	if adoptedHost := s.hostByAdoptedName[host]; adoptedHost != "" {
		host = adoptedHost
	}
	lease := s.leases[host]
	switch {
	case req.Type == RequestAcquire:
		result.Err = s.acquire(host, req, lease)
	case lease == nil || !lease.Stage.isHeld() || req.FencingToken != lease.FencingToken:
		result.Err = s.staleTokenError(host, req.FencingToken, lease)
	default:
		result.Err = s.advance(lease, req)
	}
	result.Response = s.Response(host)
}

func (s *State) staleTokenError(host string, got uint64, lease *Lease) error {
	err := &StaleFenceError{Host: host, Got: got}
	if lease != nil {
		err.Current = lease.FencingToken
	}
	return err
}

// acquire applies a process's request for the lease. If another process of the host already holds
// the lease, it continues under a new fencing token, so that requests of the other process no longer
// take effect.
func (s *State) acquire(host string, req *Request, lease *Lease) error {
	if owner := s.machineNamed(req.Name); owner != nil && owner.Host != host {
		return &NameTakenError{Host: host, Name: req.Name, UsedBy: owner.Host}
	}
	if lease == nil || !lease.Stage.isHeld() {
		work, pending := s.pendingWork(host)
		if !pending {
			if s.plan == nil || s.doneJobs[host] == "" {
				return &UnknownHostError{Host: host} // the agent polls until a plan has work for its host
			}
			return nil
		}
		if lease == nil {
			lease = &Lease{Host: host}
			s.leases[host] = lease
		}
		lease.Name, lease.Nonce, lease.Job, lease.WorkDuration, lease.Deadline = req.Name, req.Nonce, work.job,
			work.duration, work.deadline
		if lease.Stage != StageRequested {
			s.setStage(lease, StageRequested)
		}
		return nil
	}
	if lease.Nonce == req.Nonce {
		return nil
	}
	s.lastFencingToken++
	lease.FencingToken, lease.Nonce, lease.Name, lease.UndrainConfirmed = s.lastFencingToken, req.Nonce, req.Name, false
	if lease.Stage == StageDrained { // the new process has to be observed idle
		s.setStage(lease, StageDraining)
	}
	return nil
}

// machineNamed returns the machine with the given node name or server UID, or nil.
func (s *State) machineNamed(name string) *machine {
	if m := s.machines[name]; m != nil && m.Name == name { // most machines are named like their host
		return m
	}
	for _, m := range s.machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// advance applies a request that carries the lease's current fencing token.
func (s *State) advance(lease *Lease, req *Request) error {
	switch {
	case req.Type == RequestStartDrain && lease.Stage == StageGranted:
		if err := s.recheckBounds(lease); err != nil {
			s.release(lease, false)
			return err
		}
		lease.UnusedGrants = 0
		s.setStage(lease, StageDraining)
	case req.Type == RequestStartWork && lease.Stage == StageDrained:
		if m := s.machines[lease.Host]; m == nil || m.Phase != PhaseIdle ||
			s.now-max(m.observedAt, s.observedAt) > maxObservationAge {
			return &OrderError{Host: lease.Host, Operation: req.Type.String(), Stage: lease.Stage}
		}
		if err := s.recheckBounds(lease); err != nil {
			s.recall(lease)
			return err
		}
		lease.SeenGone = false
		s.setStage(lease, StageOut)
	case req.Type == RequestFinishWork && lease.Stage == StageOut:
		s.setStage(lease, StageArrived)
	case req.Type == RequestConfirmUndrain && lease.Stage == StageGranted:
		s.release(lease, false)
	case req.Type == RequestConfirmUndrain && !lease.UndrainConfirmed && lease.Stage <= StageOut:
		// In StageOut the response that permitted the machine to leave was lost or came too late.
		s.setStage(lease, StageRecalled)
		lease.UndrainConfirmed = true
	case req.Type == RequestStartDrain && (lease.Stage == StageDraining || lease.Stage == StageDrained),
		req.Type == RequestStartWork && lease.Stage == StageOut,
		req.Type == RequestFinishWork && lease.Stage > StageOut, req.Type == RequestConfirmUndrain && lease.UndrainConfirmed:
		// A repeated request changes nothing.
	default:
		return &OrderError{Host: lease.Host, Operation: req.Type.String(), Stage: lease.Stage}
	}
	return nil
}

// recheckBounds checks the bounds once more before a machine drains or leaves service, because
// another machine may have failed since the grant.
func (s *State) recheckBounds(lease *Lease) error {
	m := s.machines[lease.Host]
	switch {
	case s.Halted():
		return &HaltedError{Reason: s.haltReason()}
	case s.plan == nil || m == nil:
		return &UnknownHostError{Host: lease.Host}
	}
	return s.violationError(lease.Host, s.firstViolation(&s.usage, m, true,
		s.expectedDuration(lease.WorkDuration), s.wallTime))
}
