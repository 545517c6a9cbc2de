package maintenance

import "time"

// trust is the time for which an agent may act on an answer that lets it go on draining: without a
// new one it comes back, as the council may have lost its majority.
const trust = time.Second

// Answer is what the council tells a machine's agent.
type Response struct {
	Host         string        `cbor:"1,keyasint"`
	Stage        Stage         `cbor:"2,keyasint"`
	FencingToken uint64        `cbor:"3,keyasint"`
	Nonce        uint64        `cbor:"4,keyasint"` // of the process whose turn it is
	TTL          time.Duration `cbor:"5,keyasint"` // for which the answer may be acted on, from before it was asked for
	Job          string        `cbor:"6,keyasint,omitempty"`
	WorkDuration Duration      `cbor:"7,keyasint,omitempty"`
}

// Answer tells how a host's turn stands.
func (s *State) Response(host string) Response {
	if adopted := s.names[host]; adopted != "" {
		host = adopted
	}
	a := Response{Host: host, Stage: s.stage(host), TTL: trust}
	if t := s.turns[host]; t != nil {
		a.FencingToken, a.Nonce, a.Job, a.WorkDuration = t.FencingToken, t.Nonce, t.Job, t.WorkDuration
		if t.Stage == StageGranted {
			a.TTL = t.TimerAt - s.now
		}
	}
	return a
}

// Encode gives an answer's bytes, in canonical form.
func (a *Response) Encode() ([]byte, error) { return encoder.Marshal(a) }

// DecodeAnswer reads an answer.
func DecodeResponse(raw []byte) (*Response, error) {
	const most = 512
	a := &Response{}
	if len(raw) > most {
		return nil, spoilt("answer", "%d bytes", len(raw))
	}
	if err := decoder.Unmarshal(raw, a); err != nil {
		return nil, spoilt("answer", "%s", oneLine(err))
	}
	if !nameGood(a.Host) || a.Stage > StageDone || a.TTL < 0 || time.Duration(a.WorkDuration) > spanMost || a.WorkDuration < 0 || (a.Job != "" && !nameGood(a.Job)) {
		return nil, spoilt("answer", "of host %q, %v", a.Host, a.Stage)
	}
	return a, nil
}

// word takes what a machine's agent says. Each verb may come twice: the second does nothing more and
// is answered like the first.
func (s *State) word(w *Request, r *Result) {
	host := w.Host
	if adopted := s.names[host]; adopted != "" {
		host = adopted
	}
	t := s.turns[host]
	switch {
	case w.Type == RequestAcquire:
		r.Err = s.ask(host, w, t)
	case t == nil || !t.Stage.holds() || w.FencingToken != t.FencingToken:
		r.Err = s.staleFence(host, w.FencingToken, t)
	default:
		r.Err = s.say(t, w)
	}
	r.Response = s.Response(host)
}

func (s *State) staleFence(host string, got uint64, t *Lease) error {
	e := &StaleFenceError{Host: host, Got: got}
	if t != nil {
		e.Current = t.FencingToken
	}
	return e
}

// ask takes a process's first word. A turn that another process of the host had goes on under a new
// number, so that what the other still says does nothing.
func (s *State) ask(host string, w *Request, t *Lease) error {
	if m := s.owner(w.Name); m != nil && m.Host != host {
		return &NameTakenError{Host: host, Name: w.Name, UsedBy: m.Host}
	}
	if t == nil || !t.Stage.holds() {
		work, wanted := s.wanted(host)
		if !wanted {
			if s.plan == nil || s.done[host] == "" {
				return &UnknownHostError{Host: host} // it polls until a plan has work for it
			}
			return nil
		}
		if t == nil {
			t = &Lease{Host: host}
			s.turns[host] = t
		}
		t.Name, t.Nonce, t.Job, t.WorkDuration, t.Deadline = w.Name, w.Nonce, work.job, work.length, work.deadline
		if t.Stage != StageRequested {
			s.turn(t, StageRequested)
		}
		return nil
	}
	if t.Nonce == w.Nonce {
		return nil
	}
	s.fence++
	t.FencingToken, t.Nonce, t.Name, t.UndrainConfirmed = s.fence, w.Nonce, w.Name, false
	if t.Stage == StageDrained { // the new process has to be seen idle
		s.turn(t, StageDraining)
	}
	return nil
}

// owner is the machine that has a name.
func (s *State) owner(name string) *machine {
	if m := s.fleet[name]; m != nil && m.Name == name { // most are called like their host
		return m
	}
	for _, m := range s.fleet {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// say takes a word under the number in force.
func (s *State) say(t *Lease, w *Request) error {
	switch {
	case w.Type == RequestStartDrain && t.Stage == StageGranted:
		if err := s.stillFree(t); err != nil {
			s.giveUp(t, false)
			return err
		}
		t.UnusedGrants = 0
		s.turn(t, StageDraining)
	case w.Type == RequestStartWork && t.Stage == StageDrained:
		if m := s.fleet[t.Host]; m == nil || m.Phase != PhaseIdle || s.now-max(m.at, s.seen) > evidenceMost {
			return &OrderError{Host: t.Host, Operation: w.Type.String(), Stage: t.Stage}
		}
		if err := s.stillFree(t); err != nil {
			s.recall(t)
			return err
		}
		t.SeenGone = false
		s.turn(t, StageOut)
	case w.Type == RequestFinishWork && t.Stage == StageOut:
		s.turn(t, StageArrived)
	case w.Type == RequestConfirmUndrain && t.Stage == StageGranted:
		s.giveUp(t, false)
	case w.Type == RequestConfirmUndrain && !t.UndrainConfirmed && t.Stage <= StageOut:
		s.turn(t, StageRecalled)
		t.UndrainConfirmed = true
	case w.Type == RequestStartDrain && (t.Stage == StageDraining || t.Stage == StageDrained), w.Type == RequestStartWork && t.Stage == StageOut,
		w.Type == RequestFinishWork && t.Stage > StageOut, w.Type == RequestConfirmUndrain && t.UndrainConfirmed: // said before
	default:
		return &OrderError{Host: t.Host, Operation: w.Type.String(), Stage: t.Stage}
	}
	return nil
}

// stillFree looks at the bounds once more before a step out: a machine may have died since.
func (s *State) stillFree(t *Lease) error {
	m := s.fleet[t.Host]
	switch {
	case s.Halted():
		return &HaltedError{Reason: s.haltWhy()}
	case s.plan == nil || m == nil:
		return &UnknownHostError{Host: t.Host}
	}
	return s.err(t.Host, s.barred(&s.yard, m, true, s.need(t.WorkDuration), s.wall))
}
