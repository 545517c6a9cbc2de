package node

import (
	"time"

	"sloestile/internal/discovery"
)

// minClockStep is the difference between the wall clock and the decision module's clock that counts as a step of the wall
// clock.
const minClockStep = time.Second

// serverStart is the start of a server as discovery reports it and on the decision module's clock. The latter is kept, so
// that a server keeps its start when it is listed again after a step of the wall clock.
type serverStart struct {
	bootMS    float64
	startedAt time.Duration
}

// serverStart returns the start of a server on the decision module's clock; 0 means that it is not known.
func (l *loop) serverStart(t *discovery.Target) time.Duration {
	if t.BootMS <= 0 {
		delete(l.serverStarts, t.UID)
		return 0
	}
	known, ok := l.serverStarts[t.UID]
	if !ok || known.bootMS != t.BootMS {
		now := l.now()
		step := time.Duration(time.Now().UnixNano()) - now
		known = serverStart{t.BootMS, convertStart(time.Duration(t.BootMS*float64(time.Millisecond)), now, step)}
		l.serverStarts[t.UID] = known
	}
	return known.startedAt
}

// convertStart converts the start of a server in Unix time to the decision module's clock, which shows now and is not
// affected by steps of the wall clock. step is the sum of these since this process began. A start after a step may have
// been recorded by the stepped clock or by one that was not stepped. Of its ages by both the shorter one counts, so that
// a server that has just started is never taken for one that is warm. A start in the future of both counts as now.
func convertStart(start, now, step time.Duration) time.Duration {
	age := now - start
	if stepped := age + step; step.Abs() >= minClockStep && stepped >= 0 && (age < 0 || stepped < age) {
		age = stepped
	}
	return now - max(age, 0)
}
