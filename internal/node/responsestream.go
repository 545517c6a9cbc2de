package node

import (
	"io"
	"sync"
)

// responseStream passes the parts of a streamed response from the attempt that reads them to the goroutine that writes
// them to the client. Unlike an io.Pipe it copies nothing, so the two need one buffer together.
type responseStream struct {
	parts chan []byte   // parts on their way to the reader
	used  chan struct{} // receives a value when the reader is done with a part
	ended chan struct{} // closed when there are no more parts
	left  chan struct{} // closed when the reader wants no more

	endOnce, leaveOnce sync.Once
	endErr, leaveErr   error

	holding bool // whether the reader has a part; owned by the reader
}

func newResponseStream() *responseStream {
	return &responseStream{parts: make(chan []byte), used: make(chan struct{}, 1), ended: make(chan struct{}), left: make(chan struct{})}
}

// write passes on a part and returns once the reader is done with it. It returns the error of leave if the reader wants no
// more.
func (s *responseStream) write(part []byte) error {
	select {
	case <-s.left:
		return s.leaveErr
	default:
	}
	select {
	case s.parts <- part:
	case <-s.left:
		return s.leaveErr
	}
	<-s.used // also if the reader leaves: until then it may use the part
	return nil
}

// end ends the stream. A nil error means that it is complete.
func (s *responseStream) end(err error) {
	s.endOnce.Do(func() {
		if err == nil {
			err = io.EOF
		}
		s.endErr = err
		close(s.ended)
	})
}

// next returns the next part, which may be used until the next call of next or release. It returns io.EOF at the end of a
// complete stream, and the error of end or leave if the stream is not complete.
func (s *responseStream) next() ([]byte, error) {
	s.release()
	select {
	case <-s.left:
		return nil, s.leaveErr
	default:
	}
	select {
	case part := <-s.parts:
		s.holding = true
		return part, nil
	case <-s.ended:
		return nil, s.endErr
	case <-s.left:
		return nil, s.leaveErr
	}
}

// release gives back the part that the reader has. Only the reader may call it.
func (s *responseStream) release() {
	if s.holding {
		s.holding = false
		s.used <- struct{}{}
	}
}

// leave makes the writer's next call fail, and the reader's too. Any goroutine may call it.
func (s *responseStream) leave(err error) {
	s.leaveOnce.Do(func() {
		s.leaveErr = err
		close(s.left)
	})
}
