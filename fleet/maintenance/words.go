package maintenance

import "time"

// trust is the time for which an agent may act on an answer that lets it go on draining: without a
// new one it comes back, as the council may have lost its majority.
const trust = time.Second

// Answer is what the council tells a machine's agent.
type Answer struct {
	Host   string        `cbor:"1,keyasint"`
	Stage  Stage         `cbor:"2,keyasint"`
	Fence  uint64        `cbor:"3,keyasint"`
	Nonce  uint64        `cbor:"4,keyasint"` // of the process whose turn it is
	Left   time.Duration `cbor:"5,keyasint"` // for which the answer may be acted on, from before it was asked for
	Job    string        `cbor:"6,keyasint,omitempty"`
	Length Span          `cbor:"7,keyasint,omitempty"`
}

// Answer tells how a host's turn stands.
func (s *State) Answer(host string) Answer {
	if adopted := s.names[host]; adopted != "" {
		host = adopted
	}
	a := Answer{Host: host, Stage: s.stage(host), Left: trust}
	if t := s.turns[host]; t != nil {
		a.Fence, a.Nonce, a.Job, a.Length = t.Fence, t.Nonce, t.Job, t.Length
		if t.Stage == Granted {
			a.Left = t.Until - s.now
		}
	}
	return a
}

// Encode gives an answer's bytes, in canonical form.
func (a *Answer) Encode() ([]byte, error) { return encoder.Marshal(a) }

// DecodeAnswer reads an answer.
func DecodeAnswer(raw []byte) (*Answer, error) {
	const most = 512
	a := &Answer{}
	if len(raw) > most {
		return nil, spoilt("answer", "%d bytes", len(raw))
	}
	if err := decoder.Unmarshal(raw, a); err != nil {
		return nil, spoilt("answer", "%s", oneLine(err))
	}
	if !nameGood(a.Host) || a.Stage > Done || a.Left < 0 || time.Duration(a.Length) > spanMost || a.Length < 0 || (a.Job != "" && !nameGood(a.Job)) {
		return nil, spoilt("answer", "of host %q, %v", a.Host, a.Stage)
	}
	return a, nil
}

// word takes what a machine's agent says. Each verb may come twice: the second does nothing more and
// is answered like the first.
func (s *State) word(w *Word, r *Result) {
	host := w.Host
	if adopted := s.names[host]; adopted != "" {
		host = adopted
	}
	t := s.turns[host]
	switch {
	case w.Verb == Ask:
		r.Err = s.ask(host, w, t)
	case t == nil || !t.Stage.holds() || w.Fence != t.Fence:
		r.Err = s.staleFence(host, w.Fence, t)
	default:
		r.Err = s.say(t, w)
	}
	r.Answer = s.Answer(host)
}

func (s *State) staleFence(host string, got uint64, t *Turn) error {
	e := &StaleFenceError{Host: host, Got: got}
	if t != nil {
		e.Have = t.Fence
	}
	return e
}

// ask takes a process's first word. A turn that another process of the host had goes on under a new
// number, so that what the other still says does nothing.
func (s *State) ask(host string, w *Word, t *Turn) error {
	if m := s.owner(w.Name); m != nil && m.Host != host {
		return &NameTakenError{Host: host, Name: w.Name, By: m.Host}
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
			t = &Turn{Host: host}
			s.turns[host] = t
		}
		t.Name, t.Nonce, t.Job, t.Length, t.Deadline = w.Name, w.Nonce, work.job, work.length, work.deadline
		if t.Stage != Asked {
			s.turn(t, Asked)
		}
		return nil
	}
	if t.Nonce == w.Nonce {
		return nil
	}
	s.fence++
	t.Fence, t.Nonce, t.Name, t.Said = s.fence, w.Nonce, w.Name, false
	if t.Stage == Drained { // the new process has to be seen idle
		s.turn(t, Draining)
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
func (s *State) say(t *Turn, w *Word) error {
	switch {
	case w.Verb == Begin && t.Stage == Granted:
		if err := s.stillFree(t); err != nil {
			s.giveUp(t, false)
			return err
		}
		t.GivenUp = 0
		s.turn(t, Draining)
	case w.Verb == Go && t.Stage == Drained:
		if m := s.fleet[t.Host]; m == nil || m.Phase != Idle || s.now-max(m.at, s.seen) > evidenceMost {
			return &OrderError{Host: t.Host, What: w.Verb.String(), Stage: t.Stage}
		}
		if err := s.stillFree(t); err != nil {
			s.recall(t)
			return err
		}
		t.Absent = false
		s.turn(t, Out)
	case w.Verb == Back && t.Stage == Out:
		s.turn(t, Arrived)
	case w.Verb == Here && t.Stage == Granted:
		s.giveUp(t, false)
	case w.Verb == Here && !t.Said && t.Stage <= Out:
		s.turn(t, Recalled)
		t.Said = true
	case w.Verb == Begin && (t.Stage == Draining || t.Stage == Drained), w.Verb == Go && t.Stage == Out,
		w.Verb == Back && t.Stage > Out, w.Verb == Here && t.Said: // said before
	default:
		return &OrderError{Host: t.Host, What: w.Verb.String(), Stage: t.Stage}
	}
	return nil
}

// stillFree looks at the bounds once more before a step out: a machine may have died since.
func (s *State) stillFree(t *Turn) error {
	m := s.fleet[t.Host]
	switch {
	case s.Halted():
		return &HaltedError{Why: s.haltWhy()}
	case s.plan == nil || m == nil:
		return &UnknownHostError{Host: t.Host}
	}
	return s.err(t.Host, s.barred(&s.yard, m, true, s.need(t.Length), s.wall))
}
